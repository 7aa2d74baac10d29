package judge

import "time"

// Departure is an upstream that has left or is new, and what the gateways must have made of
// that by when.
type Departure struct {
	// Upstream is its ID.
	Upstream string
	// NoneAfter is the instant after which no caller's request may reach it; zero if it is
	// new.
	NoneAfter time.Time
	// UsedFrom and UsedBy bound when it must have got a request if it is new.
	UsedFrom, UsedBy time.Time
}
