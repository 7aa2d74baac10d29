package replica

import "time"

// Config sets up a Replica.
type Config struct {
	// ID names the start of the replica.
	ID string
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Events is the number of events of a stream; 0 answers at once.
	Events int
	// Pause is the time between two events, or before the answer.
	Pause time.Duration
	// BreakAfter cuts streams after this number of events; 0 does not.
	BreakAfter int
	// Full refuses all requests as not run.
	Full bool
	// Fail is the status of all answers; 0 is 200.
	Fail int
	// Drop cuts the connection in place of an answer, after the run.
	Drop bool
	// Mute gives no answer.
	Mute bool
}
