package host

// Refusal says why a call is not served.
type Refusal int

// The reasons to refuse a call.
const (
	// Down is an outage that is answered with 503.
	Down Refusal = iota + 1
	// Failing is an outage that is answered with 500.
	Failing
	// Throttled is a rate limit.
	Throttled
)
