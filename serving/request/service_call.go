package request

// ServiceCall is an HTTP call of a plain service, that is, of an upstream other
// than a model engine.
type ServiceCall struct {
	// Service names the service.
	Service string `cbor:"1,keyasint"`
	// Method is the HTTP method.
	Method string `cbor:"2,keyasint"`
	// Path is the path at the upstream, with the query.
	Path string `cbor:"3,keyasint"`
	// Header lists the header fields that are passed on to the upstream.
	Header []HeaderField `cbor:"4,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"5,keyasint"`
}
