package request

// Reply is the answer of a plain service.
type Reply struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Fields are the header fields that are passed on.
	Fields []Field `cbor:"2,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"3,keyasint"`
}
