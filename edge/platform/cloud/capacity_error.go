package cloud

// CapacityError reports a start that was refused because no machine is free.
// Nothing was started.
type CapacityError struct {
	// FailureDomain is where the instance should start.
	FailureDomain string
	// MachineClass is the class asked for.
	MachineClass string
	// Reclaimable is the kind asked for.
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
