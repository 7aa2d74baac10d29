package request

// Field is a header field of a plain call or its reply.
type Field struct {
	// Name is the name of the field.
	Name string `cbor:"1,keyasint"`
	// Value is its value.
	Value string `cbor:"2,keyasint"`
}
