package relay

// retryBucket counts first sends and retries in one bucket of the window.
type retryBucket struct {
	requests, retries int
}
