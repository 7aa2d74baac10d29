package engine

// RequestWitness is what became of a request.
type RequestWitness struct {
	// RequestID names the request.
	RequestID string `json:"request_id"`
	// TimesStarted is the number of executions that computed something.
	TimesStarted int `json:"times_started"`
	// Runs are the executions, the oldest first.
	Runs []*RunWitness `json:"runs"`
}
