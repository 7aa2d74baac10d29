package cloud

// CapacityError reports that the cloud has no capacity for an instance. Nothing
// was started.
type CapacityError struct {
	// FailureDomain is the requested failure domain.
	FailureDomain string
	// MachineClass is the requested machine class.
	MachineClass string
	// Reclaimable tells whether a reclaimable instance was requested.
	Reclaimable bool
}

// Error implements error.
func (e *CapacityError) Error() string {
	kind := "on-demand"
	if e.Reclaimable {
		kind = "reclaimable"
	}
	return "no " + kind + " " + e.MachineClass + " is free in " + e.FailureDomain
}
