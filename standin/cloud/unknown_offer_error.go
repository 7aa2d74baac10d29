package cloud

// UnknownOfferError reports a start of an instance for which there is no offer.
type UnknownOfferError struct {
	// FailureDomain is the requested failure domain.
	FailureDomain string
	// MachineClass is the requested machine class.
	MachineClass string
}

// Error implements error.
func (e *UnknownOfferError) Error() string {
	return "no " + e.MachineClass + " is offered in " + e.FailureDomain
}
