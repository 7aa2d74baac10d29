package caller

// AddressQuery is GET /v1/addresses.
type AddressQuery struct{}

func (*AddressQuery) isMessage() {}
