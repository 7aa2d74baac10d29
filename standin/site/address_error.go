package site

// AddressError reports an address that is not an IP number and port.
type AddressError struct {
	// Address is the address as it was given.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *AddressError) Error() string {
	return "invalid address " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error {
	return e.Err
}
