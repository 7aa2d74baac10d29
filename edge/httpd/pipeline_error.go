package httpd

// PipelineError is the cause when a connection is closed because its client has sent more
// requests than may wait.
type PipelineError struct {
	// Remote is the address of the client.
	Remote string
}

// Error implements error.
func (e *PipelineError) Error() string {
	return "too many pipelined requests from " + e.Remote
}
