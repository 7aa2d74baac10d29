package attempt

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Window limits the time from the start of a claim to the send of the request.
// All processes of a deployment must use the same window.
type Window struct {
	// Length is how long other processes wait before they resolve a claim.
	Length time.Duration
	// Margin is subtracted from Length at the holder. It covers the drift
	// between two clocks during Length.
	Margin time.Duration
}

// DefaultWindow returns the window of a gateway. It leaves time to try the write
// twice and to connect to the upstream.
func DefaultWindow() Window {
	return Window{Length: 2 * time.Second, Margin: 100 * time.Millisecond}
}

// deadline returns when the right to send of a claim begun at start expires.
func (w Window) deadline(start clock.Instant) clock.Instant {
	return start.Add(w.Length - w.Margin)
}
