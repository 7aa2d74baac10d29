package cloud

// UnknownOfferError reports a start of a kind of instance that is not offered.
type UnknownOfferError struct {
	// FailureDomain is where it should start.
	FailureDomain string
	// MachineClass is the class asked for.
	MachineClass string
}

// Error implements error.
func (e *UnknownOfferError) Error() string {
	return "no " + e.MachineClass + " is offered in " + e.FailureDomain
}
