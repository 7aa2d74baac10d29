package dispatch

// Event is the name of an event of a request, as logged and counted.
type Event string

// The events.
const (
	// AttemptFailed means that an attempt ended without a whole answer.
	AttemptFailed Event = "attempt_failed"
	// AttemptMoved means that a request was moved away from a leaving upstream.
	AttemptMoved Event = "attempt_moved"
	// ExportFailed means that an upstream did not export a KV cache.
	ExportFailed Event = "export_failed"
	// ImportFailed means that an upstream did not import a KV cache.
	ImportFailed Event = "import_failed"
	// AttemptReattached means that the gateway reconnects to a broken stream.
	AttemptReattached Event = "attempt_reattached"
	// RecordFailed means that the record of a request could not be updated.
	RecordFailed Event = "record_failed"
)
