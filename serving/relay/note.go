package relay

import "time"

// Note is the account of one decision, for the log and the metrics.
type Note struct {
	// Event names the decision: NoteSent, NoteRetried or NoteEnded.
	Event NoteEvent
	// Handle is the request.
	Handle Handle
	// ID is the caller's name of the request.
	ID string
	// Route names the route; empty if there is none.
	Route string
	// Customer names the customer; empty if there is none.
	Customer string
	// Upstream is the last one tried; empty for none.
	Upstream string
	// Attempts is the number of attempts.
	Attempts int
	// Reason says why.
	Reason Reason
	// NotRun is true when no upstream has run the request.
	NotRun bool
	// Status is the upstream's status; 0 if there was none.
	Status int
	// First is the time to the first event or the whole plain answer; 0 for none.
	First time.Duration
	// Took is the time since the request came.
	Took time.Duration
	// Predicted is the predicted time to the first event of the last attempt.
	Predicted time.Duration
	// Cached is the number of prompt tokens that the upstream was believed to
	// hold.
	Cached int
	// Open is the number of this gateway's requests at the upstream when the
	// last attempt was sent.
	Open int
	// Config is the version of the configuration that decided.
	Config uint64
	// ViewAge is how old the list of upstreams was.
	ViewAge time.Duration
	// Detail is the cause of a failure.
	Detail string
}

func (Note) isAction() {}
