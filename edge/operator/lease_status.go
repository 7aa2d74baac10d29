package operator

// LeaseStatus says who holds a control duty.
type LeaseStatus struct {
	// Duty names the duty.
	Duty string `json:"duty"`
	// Holder names the controller; empty if unknown.
	Holder string `json:"holder"`
	// Fence is the fencing number.
	Fence uint64 `json:"fence"`
	// Held is true on the controller that holds it.
	Held bool `json:"held"`
}
