package price

// Offer is the price of one kind of instance.
type Offer struct {
	// Region names the region of the failure domain.
	Region string `json:"region"`
	// FailureDomain names the failure domain of the instance.
	FailureDomain string `json:"failure_domain"`
	// MachineClass names the machine type of the instance.
	MachineClass string `json:"machine_class"`
	// Reclaimable is set if the cloud may reclaim the instance at any time, as
	// spot instances.
	Reclaimable bool `json:"reclaimable"`
	// MicrosPerHour is the price an hour, in millionths of a unit of the
	// federation's currency.
	MicrosPerHour int64 `json:"micros_per_hour"`
}
