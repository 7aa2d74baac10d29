package operator

// LeaseStatus is the lease of a control duty as one controller knows it.
type LeaseStatus struct {
	// Duty is the name of the duty.
	Duty string `json:"duty"`
	// Holder is the controller that holds the lease; empty if unknown.
	Holder string `json:"holder"`
	// Fence is the fencing number of the lease.
	Fence uint64 `json:"fence"`
	// Held is true if the reporting controller holds the lease.
	Held bool `json:"held"`
}
