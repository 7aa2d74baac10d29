package operator

// NoAddressError reports that no address of a controller was given.
type NoAddressError struct{}

// Error implements error.
func (*NoAddressError) Error() string {
	return "no address given"
}
