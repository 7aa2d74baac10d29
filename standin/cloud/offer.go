package cloud

// Offer is a kind of instance that can be started.
type Offer struct {
	// Region holds the failure domain.
	Region string `json:"region"`
	// FailureDomain is where the instances are.
	FailureDomain string `json:"failure_domain"`
	// MachineClass is the class of the machine.
	MachineClass string `json:"machine_class"`
	// Reclaimable instances can be taken at any moment.
	Reclaimable bool `json:"reclaimable"`
	// MicrosPerHour is the price, in millionths of the federation's currency.
	MicrosPerHour int64 `json:"micros_per_hour"`
}
