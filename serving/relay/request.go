package relay

import "time"

// Request is what decisions depend on. Its head and body stay with the owner of
// the core.
type Request struct {
	// Handle names it here.
	Handle Handle
	// ID is the caller's name of it.
	ID string
	// Host is the host that it names.
	Host string
	// Path is its path without the query.
	Path string
	// Credential is the caller's secret; empty for none.
	Credential string
	// Patience is how long the caller waits; 0 if it did not say.
	Patience time.Duration
	// HeadBytes and BodyBytes are the sizes of its head and its body.
	HeadBytes, BodyBytes int
	// Prompt describes the prompt; nil for a plain call.
	Prompt *Prompt
	// After is the number of the last event that the caller has of the stream; 0
	// for none.
	After int64
}
