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

// DefaultWindow returns the window of a gateway. It leaves time for two tries of
// the write and for the connection to the upstream.
func DefaultWindow() Window {
	return Window{Length: 2 * time.Second, Margin: 100 * time.Millisecond}
}

// deadline returns the end of the right to send of a claim begun at start.
func (w Window) deadline(start clock.Instant) clock.Instant {
	return start.Add(w.Length - w.Margin)
}
