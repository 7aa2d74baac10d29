package entry

import "time"

// setClockOffset sets what other clocks are ahead of the monotonic clock.
type setClockOffset struct {
	// offset is that of the wall clock, as time since the Unix epoch (the start of 1970).
	offset time.Duration
	// store is that of the store's clock.
	store time.Duration
}

func (setClockOffset) isDispatchMessage() {}
