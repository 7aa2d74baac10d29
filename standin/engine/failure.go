package engine

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// FailureType is the type of an error of the engine.
type FailureType string

// The types of errors.
const (
	// FailureNotRun is a request that was not run.
	FailureNotRun FailureType = "not_run"
	// FailureInvalid is a request that can't be served as it is.
	FailureInvalid FailureType = "invalid_request"
	// FailureUnknownModel is a request for a model that is not wanted here.
	FailureUnknownModel FailureType = "unknown_model"
	// FailureUnknownAdapter is a request for an adapter that is not here.
	FailureUnknownAdapter FailureType = "unknown_adapter"
	// FailureUnknownHandle is a request with a KV handle that does not exist
	// or is of another prompt.
	FailureUnknownHandle FailureType = "unknown_kv_handle"
	// FailureNotFound is a request id or path that does not exist.
	FailureNotFound FailureType = "not_found"
	// FailureNoCache is an export of a request that does not generate.
	FailureNoCache FailureType = "no_kv_cache"
	// FailureStale is an order with an old fencing number.
	FailureStale FailureType = "stale_fencing"
	// FailureUnavailable is an outage.
	FailureUnavailable FailureType = "unavailable"
	// FailureInternal is a failure inside the engine.
	FailureInternal FailureType = "internal"
	// FailureCanceled ends the stream of a canceled request.
	FailureCanceled FailureType = "canceled"
	// FailureExported ends the stream of an exported request.
	FailureExported FailureType = "exported"
	// FailureAbandoned ends the stream of a request whose callers were gone
	// for too long.
	FailureAbandoned FailureType = "abandoned"
)

// Failure is the body of an error.
type Failure struct {
	// Error describes the error.
	Error FailureDetail `json:"error"`
}

func fail(c *host.Call, status int, kind FailureType, message string) {
	c.ReplyJSON(status, Failure{Error: FailureDetail{Type: kind, Message: message}})
}
