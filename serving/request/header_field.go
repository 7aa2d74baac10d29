package request

// HeaderField is one HTTP header field of a service call or its reply.
type HeaderField struct {
	// Name is the field name.
	Name string `cbor:"1,keyasint"`
	// Value is the field value.
	Value string `cbor:"2,keyasint"`
}
