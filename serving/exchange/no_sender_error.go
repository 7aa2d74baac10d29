package exchange

// NoSenderError reports a Poll that does not name the gateway that polls.
type NoSenderError struct{}

// Error implements error.
func (*NoSenderError) Error() string {
	return "the record names no instance"
}
