package engine

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// The types of errors of the engine, beside those of all stand-ins.
const (
	// FailureUnknownModel is a request for a model that is not wanted here.
	FailureUnknownModel host.FailureType = "unknown_model"
	// FailureUnknownAdapter is a request for an adapter that is not here.
	FailureUnknownAdapter host.FailureType = "unknown_adapter"
	// FailureUnknownHandle is a request with a KV handle that does not exist
	// or is of another prompt.
	FailureUnknownHandle host.FailureType = "unknown_kv_handle"
	// FailureNoCache is an export of a request that does not generate.
	FailureNoCache host.FailureType = "no_kv_cache"
	// FailureStale is an order with an old fencing number.
	FailureStale host.FailureType = "stale_fencing"
	// FailureCanceled ends the stream of a canceled request.
	FailureCanceled host.FailureType = "canceled"
	// FailureExported ends the stream of an exported request.
	FailureExported host.FailureType = "exported"
	// FailureAbandoned ends the stream of a request whose callers were gone
	// for too long.
	FailureAbandoned host.FailureType = "abandoned"
)
