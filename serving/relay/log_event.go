package relay

// LogEvent is the kind of a LogEntry.
type LogEvent string

// Kinds of log entries.
const (
	// RequestRetried is logged when a failed or slow attempt is followed by
	// another one.
	RequestRetried LogEvent = "request_retried"
	// RequestEnded is logged at the end of each request.
	RequestEnded LogEvent = "request_ended"
)
