package load

import "time"

// Record is one request and what came of it.
type Record struct {
	// ID names the request.
	ID string
	// Kind is what was asked for.
	Kind Kind
	// Path is what was asked.
	Path string
	// Version is that of the route of a Newest request.
	Version int
	// Gateway is the address of the gateway that it was sent to.
	Gateway string
	// Connection tells the caller's connections apart.
	Connection string
	// Start and End are when it was sent and when its outcome was known.
	Start, End time.Time
	// Status is the HTTP status; 0 if no answer began.
	Status int
	// Receipt is the upstream's receipt.
	Receipt string
	// Body is what came of the answer's body.
	Body string
	// Err says that the answer did not end; nil if it is whole.
	Err error
}
