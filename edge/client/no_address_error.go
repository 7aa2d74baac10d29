package client

// NoAddressError reports that no gateway sent its list of addresses.
type NoAddressError struct{}

// Error implements error.
func (*NoAddressError) Error() string {
	return "no gateway can be reached"
}
