package httpd

// Handler takes decoded requests. Its methods are called on threads of the
// network library: they must not block, and should only offer to a ring.
type Handler interface {
	// Serve takes an exchange, which its new owner must answer or abort.
	Serve(x *Exchange)
	// Gone says that the caller's connection ended before the answer did.
	Gone(x *Exchange)
}
