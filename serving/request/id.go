package request

// ID identifies a request. Keys are unique only within one customer.
type ID struct {
	// Customer is the authenticated customer, qualified by its member:
	// MEMBER/NAME.
	Customer string `cbor:"1,keyasint"`
	// Key is the idempotency key that the caller chose.
	Key string `cbor:"2,keyasint"`
}

// String implements fmt.Stringer.
func (id ID) String() string {
	return id.Customer + "/" + id.Key
}
