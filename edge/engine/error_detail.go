package engine

// errorDetail is the reason for which an engine refused a request. The type
// "not_run" means that the engine has not started to run it.
type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}
