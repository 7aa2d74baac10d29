package client

// NoAddressError reports that no gateway could be reached.
type NoAddressError struct{}

// Error implements error.
func (*NoAddressError) Error() string {
	return "no gateway can be reached"
}
