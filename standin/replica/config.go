package replica

import "time"

// Config configures a Replica.
type Config struct {
	// ID is the instance ID of this start of the replica. A request that expects
	// another instance is answered by status 421.
	ID string
	// Address is the IP and port to listen on; port 0 means any free port.
	Address string
	// Events is the number of events of each stream. If it is 0, the replica answers
	// with a whole response instead of a stream.
	Events int
	// Delay is the time between two events, or before a whole response.
	Delay time.Duration
	// BreakAfter is the number of events after which a stream is cut off in the
	// middle of the next event; 0 means never.
	BreakAfter int
	// RejectAll rejects all requests with status 503 and a field that says that
	// they have not run.
	RejectAll bool
	// RejectEvery makes it reject each request whose number divides by it in the same
	// way; 0 means none.
	RejectEvery int
	// RetryAfter is the text of the field Retry-After of rejections; empty means none.
	RetryAfter string
	// Draining marks all responses as those of a replica that is leaving.
	Draining bool
	// FailStatus is the status of all responses; 0 means 200.
	FailStatus int
	// DropResponses closes the connection instead of sending the response. The
	// request has run by then.
	DropResponses bool
	// NeverRespond runs requests, but leaves them without a response.
	NeverRespond bool
}
