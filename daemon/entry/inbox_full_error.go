package entry

// InboxFullError reports a call that was not made because no slot could be
// reserved for its result.
type InboxFullError struct{}

// Error implements error.
func (*InboxFullError) Error() string {
	return "inbox has no free slot for the result of the call"
}
