package cloud

// Capacity is the body of POST /standin/capacity. It limits how many more
// instances can be started, and replaces an earlier limit for the same failure
// domain and machine class. A start must be within all limits that apply to it.
type Capacity struct {
	// FailureDomain is the failure domain to limit; empty applies to any.
	FailureDomain string `json:"failure_domain,omitempty"`
	// MachineClass is the machine class to limit; empty applies to any.
	MachineClass string `json:"machine_class,omitempty"`
	// Instances is the number of instances that can still be started; negative
	// is no limit.
	Instances int `json:"instances"`
}

func (c *Capacity) appliesTo(request StartRequest) bool {
	return (c.FailureDomain == "" || c.FailureDomain == request.FailureDomain) &&
		(c.MachineClass == "" || c.MachineClass == request.MachineClass)
}
