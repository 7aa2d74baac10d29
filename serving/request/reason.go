package request

// Reason says why a request was refused or did not complete.
type Reason string

// The reasons.
const (
	// BadRequest is a request that can't be understood.
	BadRequest Reason = "bad_request"
	// Unauthorized is a request without a valid credential.
	Unauthorized Reason = "unauthorized"
	// NotFound is a request for what the customer does not have.
	NotFound Reason = "not_found"
	// Conflict is a key that was used before for another request.
	Conflict Reason = "conflict"
	// Overloaded is a request for which there is no room.
	Overloaded Reason = "overloaded"
	// LimitReached is a request over the customer's own limit.
	LimitReached Reason = "limit_reached"
	// DeadlineUnmet is a request that can't end, or did not, by its deadline.
	DeadlineUnmet Reason = "deadline_unmet"
	// NoUpstream is a request that no live upstream can take.
	NoUpstream Reason = "no_upstream"
	// StoreUnavailable is a non-idempotent request that can't be recorded.
	StoreUnavailable Reason = "store_unavailable"
	// Leaving is a request to a gateway that is stopping.
	Leaving Reason = "leaving"
	// NotConfigured is a request before the first confirmed configuration.
	NotConfigured Reason = "not_configured"
	// UpstreamFailed is a request whose upstream failed.
	UpstreamFailed Reason = "upstream_failed"
	// Duplicate is a non-idempotent request that another holder has.
	Duplicate Reason = "duplicate"
	// Moved is a request that another gateway goes on with.
	Moved Reason = "moved"
	// Canceled is a request that its caller gave up.
	Canceled Reason = "canceled"
)
