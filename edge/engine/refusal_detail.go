package engine

// refusalDetail says why an engine refused. The type not_run says that the
// engine has not begun to run the request.
type refusalDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}
