package request

// Reason says why a request was refused or did not complete.
type Reason string

// The reasons. Callers see them as the type of a problem document.
const (
	// BadRequest means that the request is malformed or invalid.
	BadRequest Reason = "bad_request"
	// Unauthorized means that the request has no valid credential.
	Unauthorized Reason = "unauthorized"
	// NotFound means that the customer has no such request, service or path.
	NotFound Reason = "not_found"
	// Conflict means that the key was used before for a different request.
	Conflict Reason = "conflict"
	// Overloaded means that a queue or table of the gateway is full.
	Overloaded Reason = "overloaded"
	// LimitReached means that the customer is over its own limits.
	LimitReached Reason = "limit_reached"
	// DeadlineUnmet means that the deadline has passed or can't be met.
	DeadlineUnmet Reason = "deadline_unmet"
	// NoUpstream means that no live upstream took the request.
	NoUpstream Reason = "no_upstream"
	// StoreUnavailable means that the record of a non-idempotent request can't
	// be written or read.
	StoreUnavailable Reason = "store_unavailable"
	// Draining means that the gateway is stopping and takes no new requests.
	Draining Reason = "leaving"
	// NotConfigured means that the gateway has no confirmed configuration yet.
	NotConfigured Reason = "not_configured"
	// UpstreamFailed means that the upstream failed during the request.
	UpstreamFailed Reason = "upstream_failed"
	// Duplicate means that a non-idempotent request with this key is already
	// recorded for another gateway, or without an answer that can be returned.
	Duplicate Reason = "duplicate"
	// Moved means that another gateway has taken the request over.
	Moved Reason = "moved"
	// Canceled means that the caller canceled the request or stayed away for
	// too long.
	Canceled Reason = "canceled"
)
