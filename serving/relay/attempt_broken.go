package relay

// AttemptBroken reports an attempt that ended without a complete response and that
// the upstream may have run, for the log and the metrics.
type AttemptBroken struct {
	// ID is the request ID that the caller chose.
	ID string
	// Route names the route.
	Route string
	// Upstream is the ID of the upstream.
	Upstream string
	// Starting is true if the upstream had sent at most the first piece of the
	// answer.
	Starting bool
	// Disconnected is true if the upstream closed or reset the connection.
	Disconnected bool
	// SharedParts are the parts of the prompt that other prompts may contain too;
	// nil without a prompt.
	SharedParts []PromptPart
	// Detail is the cause.
	Detail string
}

func (AttemptBroken) isAction() {}
