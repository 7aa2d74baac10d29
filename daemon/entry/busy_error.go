package entry

// BusyError reports a call that was not made, since there was no room for its
// answer.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string {
	return "no room for the answer"
}
