package host

// Behavior is what a stand-in does with a request. The duty of the host calls
// its methods, one at a time.
type Behavior interface {
	// Serve answers the call, now or later.
	Serve(c *Call)
	// Refuse answers a call that is not served, because of a fault switch or a
	// rate limit. Nothing was done for the call.
	Refuse(c *Call, reason Refusal)
	// Gone says that the caller's connection ended before the answer did.
	Gone(c *Call)
}
