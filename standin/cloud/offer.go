package cloud

// Offer is a kind of instance that can be started, and its price.
type Offer struct {
	// Region is the region of the failure domain.
	Region string `json:"region"`
	// FailureDomain is the failure domain of the instances.
	FailureDomain string `json:"failure_domain"`
	// MachineClass is the machine class of the instances.
	MachineClass string `json:"machine_class"`
	// Reclaimable says that the cloud may reclaim the instances at any time.
	Reclaimable bool `json:"reclaimable"`
	// MicrosPerHour is the price, in millionths of the federation's currency.
	MicrosPerHour int64 `json:"micros_per_hour"`
}
