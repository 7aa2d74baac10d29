package http1

// Request is a complete request.
type Request struct {
	RequestHead
	// Body is the body without its framing; nil if it is empty.
	Body []byte
}
