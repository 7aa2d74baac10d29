package operator

// NoAddressError reports that the client has no addresses of controllers.
type NoAddressError struct{}

// Error implements error.
func (*NoAddressError) Error() string {
	return "no controller address given"
}
