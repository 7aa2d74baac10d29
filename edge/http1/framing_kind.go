package http1

// FramingKind says how the end of a body is found.
type FramingKind int

const (
	// NoBody is a message that ends with its head.
	NoBody FramingKind = iota
	// SizedBody is a body with a Content-Length.
	SizedBody
	// ChunkedBody is a body in chunks.
	ChunkedBody
	// CloseDelimitedBody is a body that ends with the connection.
	CloseDelimitedBody
)
