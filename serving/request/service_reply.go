package request

// ServiceReply is the HTTP response of a plain service.
type ServiceReply struct {
	// Status is the HTTP status code.
	Status int `cbor:"1,keyasint"`
	// Header lists the header fields that are passed on to the caller.
	Header []HeaderField `cbor:"2,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"3,keyasint"`
}
