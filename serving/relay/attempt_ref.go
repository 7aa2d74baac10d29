package relay

// AttemptRef identifies one attempt of a request.
type AttemptRef struct {
	// Handle is the request.
	Handle Handle
	// Attempt is the number of the attempt, from 1.
	Attempt int
}
