package judge

// Rule names an invariant.
type Rule string

// The invariants.
const (
	// AtMostOnce: what may not be repeated runs once at most.
	AtMostOnce Rule = "at most once"
	// TrueRefusal: what is refused as not run has not run.
	TrueRefusal Rule = "a refusal is true"
	// Whole: an answer that ends as whole is the upstream's, with its receipt.
	Whole Rule = "answers are whole"
	// InOrder: events come once each, in order.
	InOrder Rule = "events are in order"
	// Unchanged: upstreams see what callers sent, for the customer whose credential
	// it is, and no credential.
	Unchanged Rule = "requests are unchanged"
	// NeverOlder: a process does not go back to an older configuration.
	NeverOlder Rule = "no older configuration"
	// OneReport: a usage window has one count, and a fencing number one holder.
	OneReport Rule = "one report"
	// DutiesGoOn: after a takeover or a restore of the store somebody does the duties.
	DutiesGoOn Rule = "duties go on"
	// StaysUp: no process ends by itself.
	StaysUp Rule = "no process ends by itself"
	// WithinLimit: no customer runs more than its limit in a window.
	WithinLimit Rule = "limits hold"
	// NothingCut: a planned stop cuts no request that was passed on.
	NothingCut Rule = "planned stops cut nothing"
	// InForce: a configuration is in force everywhere in time.
	InForce Rule = "configurations are in force in time"
	// NoneToLeft: no request goes to an upstream that has left.
	NoneToLeft Rule = "no request to an upstream that has left"
	// NewInUse: a new upstream gets requests in time.
	NewInUse Rule = "new upstreams are in use in time"
	// Recovers: after the last fault requests are served again.
	Recovers Rule = "it recovers"
)
