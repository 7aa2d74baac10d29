package clock

import "time"

// Manual is a clock for tests that advances only by Advance. It is used by one
// thread. The zero value starts at the zero Instant.
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
