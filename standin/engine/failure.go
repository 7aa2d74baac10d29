package engine

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// The types of errors of the engine, beside those of all stand-ins.
const (
	// FailureUnknownModel refuses a request for a model that is neither loaded
	// nor loading.
	FailureUnknownModel host.FailureType = "unknown_model"
	// FailureUnknownAdapter refuses a request for an adapter that is not
	// served.
	FailureUnknownAdapter host.FailureType = "unknown_adapter"
	// FailureUnknownHandle refuses a request with a KV handle that does not
	// exist or belongs to another prompt.
	FailureUnknownHandle host.FailureType = "unknown_kv_handle"
	// FailureNoKVCache refuses the export of a request that is not decoding.
	FailureNoKVCache host.FailureType = "no_kv_cache"
	// FailureStaleFencing refuses an order with an outdated fencing number.
	FailureStaleFencing host.FailureType = "stale_fencing"
	// FailureCanceled ends the stream of a canceled request.
	FailureCanceled host.FailureType = "canceled"
	// FailureExported ends the stream of an exported request.
	FailureExported host.FailureType = "exported"
	// FailureAbandoned ends the stream of a request that had no caller for the
	// abandon timeout.
	FailureAbandoned host.FailureType = "abandoned"
)
