package cloud

// Capacity is the body of POST /standin/capacity: how many further instances
// can be started. A later one replaces an earlier one of the same failure
// domain and class.
type Capacity struct {
	// FailureDomain limits one failure domain; empty is each of them.
	FailureDomain string `json:"failure_domain,omitempty"`
	// MachineClass limits one class; empty is each of them.
	MachineClass string `json:"machine_class,omitempty"`
	// Instances is how many can be started; negative is no limit.
	Instances int `json:"instances"`
}

func (c *Capacity) covers(request StartRequest) bool {
	return (c.FailureDomain == "" || c.FailureDomain == request.FailureDomain) &&
		(c.MachineClass == "" || c.MachineClass == request.MachineClass)
}
