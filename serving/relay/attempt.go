package relay

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// attempt is the one that is open.
type attempt struct {
	ref       Ref
	member    *member
	sent      clock.Instant
	heard     clock.Instant // the last event, or sent
	giveUp    clock.Instant // when another upstream is tried; 0: never
	head      Head
	hasHead   bool
	hasEvent  bool
	body      []byte
	predicted prediction
	urgency   int
}
