package caller

// Address is one address of the system that a caller may use.
type Address struct {
	// Address is an IP number and port.
	Address string `json:"address"`
	// FailureDomain is that of the gateway.
	FailureDomain string `json:"failure_domain"`
	// Weight says how often to choose it, in proportion to the others.
	Weight int `json:"weight"`
}
