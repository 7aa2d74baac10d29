package link

// event is a message to the links thread: accepted, dialed, handshakeDone,
// readEnded, targetsChanged, dropRequested or statusRequested.
type event interface {
	isEvent()
}
