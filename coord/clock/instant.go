package clock

import "time"

// Instant is a point in the monotonic time of one process, counted from the start
// of the process. Instants of different processes are not comparable. The zero
// Instant is before every reading of the system clock.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from u to i.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// Before reports whether i is earlier than u.
func (i Instant) Before(u Instant) bool {
	return i < u
}

// After reports whether i is later than u.
func (i Instant) After(u Instant) bool {
	return i > u
}
