package rollout

// Outcome is how one request has ended at an upstream.
type Outcome struct {
	// Failed is true if there was no complete response without a server error, and IsSlow
	// if its beginning took much longer than expected.
	Failed, IsSlow bool
}
