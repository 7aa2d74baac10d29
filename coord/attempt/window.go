package attempt

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Window bounds the time between asking for a claim and sending the request.
// All holders of one deployment use the same window.
type Window struct {
	// Length is the time that others wait before they settle a claim.
	Length time.Duration
	// Margin is taken off Length at the holder. It covers the difference of
	// the rates of two clocks over Length.
	Margin time.Duration
}

// deadline returns the end of the right to send of a claim begun at start.
func (w Window) deadline(start clock.Instant) clock.Instant {
	return start.Add(w.Length - w.Margin)
}
