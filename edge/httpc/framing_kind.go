package httpc

// framingKind says how the end of a response body is found.
type framingKind int

const (
	// noBody is a response that ends with its head.
	noBody framingKind = iota
	// sizedFraming is a body with a Content-Length.
	sizedFraming
	// chunkedFraming is a body in chunks.
	chunkedFraming
	// closeDelimitedFraming is a body that ends with the connection.
	closeDelimitedFraming
)
