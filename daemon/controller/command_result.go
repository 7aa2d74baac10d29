package controller

// commandResult is the response to a command: a status and body, or an error.
type commandResult struct {
	requestID uint64
	status    int
	body      any
	err       error
}
