package relay

// Ref names one attempt of a request.
type Ref struct {
	// Handle is the request.
	Handle Handle
	// Attempt counts the attempts from 1.
	Attempt int
}
