package caller

// Address is the address of a gateway.
type Address struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	// FailureDomain is the failure domain of the gateway.
	FailureDomain string `json:"failure_domain"`
	// Weight is the share of requests to send here, relative to the weights of the
	// other addresses.
	Weight int `json:"weight"`
}
