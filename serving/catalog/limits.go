package catalog

// Limits are the size limits of requests. 0 means no limit.
type Limits struct {
	// MaxHeadBytes is the largest size of the head.
	MaxHeadBytes int
	// MaxBodyBytes is the largest size of the body.
	MaxBodyBytes int
}
