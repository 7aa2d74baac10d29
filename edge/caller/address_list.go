package caller

// AddressList is the response to GET /v1/addresses.
type AddressList struct {
	// Addresses are the addresses of the gateways in use.
	Addresses []Address `json:"addresses"`
	// KeepSeconds is how long the caller may cache the list, in seconds.
	KeepSeconds int `json:"keep_s"`
}
