package place

// Option is a kind of instance that a pool may use.
type Option struct {
	// FailureDomain names the failure domain in which the instance runs.
	FailureDomain string `json:"failure_domain"`
	// MachineClass names the machine type of the instance.
	MachineClass string `json:"machine_class"`
	// Reclaimable is set if the cloud may reclaim the instance at any time, as
	// spot instances.
	Reclaimable bool `json:"reclaimable"`
}
