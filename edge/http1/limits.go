package http1

// Limits bound the parts of a request, in bytes.
type Limits struct {
	// Head bounds the request line with the fields, a trailer, and a line between chunks.
	Head int
	// Body bounds the body.
	Body int
}
