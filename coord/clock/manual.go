package clock

import "time"

// Manual is a clock for tests, set by hand and used by one thread. The zero
// value starts at zero.
type Manual struct {
	now Instant
}

// Now implements Clock.
func (m *Manual) Now() Instant {
	return m.now
}

// Advance moves the clock on by d.
func (m *Manual) Advance(d time.Duration) {
	m.now = m.now.Add(d)
}
