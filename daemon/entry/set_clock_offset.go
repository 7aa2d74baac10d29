package entry

import "time"

// setClockOffset sets the wall clock, as time since the Unix epoch (the start of
// 1970), minus the monotonic clock.
type setClockOffset struct {
	offset time.Duration
}

func (setClockOffset) isDispatchMessage() {}
