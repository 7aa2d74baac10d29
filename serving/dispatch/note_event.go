package dispatch

// NoteEvent names an event of a request.
type NoteEvent string

// The events.
const (
	// AttemptFailed is an attempt that did not give a whole answer.
	AttemptFailed NoteEvent = "attempt_failed"
	// AttemptMoved is a request that was moved off a leaving upstream.
	AttemptMoved NoteEvent = "attempt_moved"
	// ExportFailed is KV cache that an upstream did not give.
	ExportFailed NoteEvent = "export_failed"
	// ImportFailed is KV cache that an upstream did not take.
	ImportFailed NoteEvent = "import_failed"
	// AttemptReattached is a stream that was taken up again.
	AttemptReattached NoteEvent = "attempt_reattached"
	// RecordFailed is a record that could not be brought up to date.
	RecordFailed NoteEvent = "record_failed"
)
