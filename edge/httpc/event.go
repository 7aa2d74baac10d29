package httpc

// event is a message to the client's duty. Exactly one of the fields that say
// what happened is set.
type event struct {
	call      *Call
	cancel    *Call
	connected *dialed
	free      *connection
}
