package httpd

// Handler receives parsed requests. Its methods are called concurrently, on
// threads of nbio or on a thread that has just replied to an exchange. They must
// not block and should only offer to a ring.
type Handler interface {
	// Serve receives an exchange, which must be replied to or aborted.
	Serve(x *Exchange)
	// Disconnected reports that the client's connection was closed before the
	// response was complete.
	Disconnected(x *Exchange)
}
