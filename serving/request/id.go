package request

// ID names a request: a key means nothing without its customer.
type ID struct {
	// Customer is the customer as authenticated, with its member: MEMBER/NAME.
	Customer string `cbor:"1,keyasint"`
	// Key is what the caller named the request.
	Key string `cbor:"2,keyasint"`
}

// String implements fmt.Stringer.
func (id ID) String() string {
	return id.Customer + "/" + id.Key
}
