package httpc

// event is a message to the client's thread. Exactly one field is set.
type event struct {
	// call is a call to start.
	call *Call
	// cancel is a call to cancel.
	cancel *Call
	// dialed is a finished dial.
	dialed *dialResult
	// released is a connection whose response is complete and that can be reused.
	released *connection
}
