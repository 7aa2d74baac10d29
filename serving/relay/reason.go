package relay

// Reason is how a request ended. It is the body of a refusal and a label in the
// log and the metrics.
type Reason string

// Reasons. A request that ends with one of NotConfigured to Late was not run.
const (
	// NotConfigured: the gateway has no configuration yet.
	NotConfigured Reason = "not_configured"
	// NoRoute: no route matches the host and path.
	NoRoute Reason = "no_route"
	// Unauthorized: the request has no valid credential.
	Unauthorized Reason = "unauthorized"
	// HeadTooLarge: the head exceeds the size limit.
	HeadTooLarge Reason = "head_too_large"
	// BodyTooLarge: the body exceeds the size limit.
	BodyTooLarge Reason = "body_too_large"
	// Throttled: the customer has exceeded its limit.
	Throttled Reason = "throttled"
	// LimitUnknown: no gateway that counts the customer's limit has answered.
	LimitUnknown Reason = "limit_unknown"
	// NoUpstream: the service has no upstream.
	NoUpstream Reason = "no_upstream"
	// Overloaded: no upstream has capacity, the latency target would be missed, or
	// a retry would exceed the budget.
	Overloaded Reason = "overloaded"
	// Quarantined: a part of the prompt crashes the upstreams that answer it.
	Quarantined Reason = "quarantined"
	// Draining: the gateway may stop before the request ends.
	Draining Reason = "leaving"
	// Late: the deadline passed before the request was sent.
	Late Reason = "late"
	// Broken: an upstream failed after the request was sent and may have run it.
	Broken Reason = "broken"
	// TimedOut: there was no complete response at the deadline.
	TimedOut Reason = "timed_out"
	// Stopped: the process ended before the request did.
	Stopped Reason = "stopped"
	// Abandoned: the caller disconnected.
	Abandoned Reason = "abandoned"
	// Answered: an upstream sent a complete response, whatever its status.
	Answered Reason = "answered"
)
