package place

// Option is a kind of instance that a pool may use.
type Option struct {
	// FailureDomain is where the instance runs.
	FailureDomain string `json:"failure_domain"`
	// MachineClass is the class of the machine.
	MachineClass string `json:"machine_class"`
	// Reclaimable instances can be taken at any moment.
	Reclaimable bool `json:"reclaimable"`
}
