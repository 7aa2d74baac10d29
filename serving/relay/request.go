package relay

import "time"

// Request holds what the decisions on a request depend on. The owner of the Core
// keeps its header and body.
type Request struct {
	// Handle identifies the request within this process.
	Handle Handle
	// ID is the request ID that the caller chose.
	ID string
	// Host is the host of the request, with or without a port.
	Host string
	// Path is the path without the query.
	Path string
	// Credential is the caller's secret; empty if there is none.
	Credential string
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
	// HeadBytes and BodyBytes are the sizes of the head and the body.
	HeadBytes, BodyBytes int
	// Prompt describes the prompt; nil if the request is not for a model engine.
	Prompt *Prompt
	// LastEventID is the number of the last event of the stream that the caller
	// has received; 0 if there is none.
	LastEventID int64
}
