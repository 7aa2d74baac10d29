package caller

// AddressList is the answer to GET /v1/addresses.
type AddressList struct {
	// Addresses are those in use.
	Addresses []Address `json:"addresses"`
	// KeepSeconds is how long the caller may keep the list, in seconds.
	KeepSeconds int `json:"keep_s"`
}
