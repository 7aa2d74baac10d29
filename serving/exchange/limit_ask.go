package exchange

// LimitAsk is the message of a gateway to another one that may admit requests of a
// customer: it asks whether the customer's limit admits one.
type LimitAsk struct {
	// Customer names the customer.
	Customer string `cbor:"1,keyasint"`
	// Amount is the cost of the request, in the unit of the limit.
	Amount float64 `cbor:"2,keyasint"`
}
