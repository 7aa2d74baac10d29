package request

// Call is a call of a plain service.
type Call struct {
	// Service names the service.
	Service string `cbor:"1,keyasint"`
	// Method is the HTTP method.
	Method string `cbor:"2,keyasint"`
	// Path is the path at the upstream, with the query.
	Path string `cbor:"3,keyasint"`
	// Fields are the header fields that are passed on.
	Fields []Field `cbor:"4,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"5,keyasint"`
}
