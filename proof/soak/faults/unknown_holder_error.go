package faults

// UnknownHolderError reports a usage report of a holder that is none of the gateways.
type UnknownHolderError struct {
	// Name is what the holder is called.
	Name string
}

// Error implements error.
func (e *UnknownHolderError) Error() string { return "no gateway is called " + e.Name }
