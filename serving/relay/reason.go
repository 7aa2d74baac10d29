package relay

// Reason says why a request has no answer of an upstream.
type Reason string

// The reasons. Those of requests that were not run come first.
const (
	// NotConfigured is a request before the first configuration is known.
	NotConfigured Reason = "not_configured"
	// NoRoute is a request for a host and path without a route.
	NoRoute Reason = "no_route"
	// Unauthorized is a request without a valid credential.
	Unauthorized Reason = "unauthorized"
	// HeadTooLarge is a request whose head is over the bound.
	HeadTooLarge Reason = "head_too_large"
	// BodyTooLarge is a request whose body is over the bound.
	BodyTooLarge Reason = "body_too_large"
	// Throttled is a request over the customer's limit.
	Throttled Reason = "throttled"
	// NoUpstream is a request for a service without a live upstream.
	NoUpstream Reason = "no_upstream"
	// Overloaded is a request for which no upstream has room.
	Overloaded Reason = "overloaded"
	// Leaving is a request to a gateway that stops.
	Leaving Reason = "leaving"
	// Late is a request whose time ran out before it was sent.
	Late Reason = "late"
	// Broken is a request whose upstream failed after it was sent.
	Broken Reason = "broken"
	// TimedOut is a request that had no whole answer at its limit.
	TimedOut Reason = "timed_out"
	// Abandoned is a request that its caller gave up.
	Abandoned Reason = "abandoned"
	// Answered is a request with the whole answer of an upstream.
	Answered Reason = "answered"
)
