package catalog

// Limits bound what callers may send.
type Limits struct {
	// MaxHeadBytes bounds the head of a request; 0 is no bound.
	MaxHeadBytes int
	// MaxBodyBytes bounds the body of a request; 0 is no bound.
	MaxBodyBytes int
}
