package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// announcement is what this gateway has published that it may use of a limit: a
// reserve at once, and more at a pace.
type announcement struct {
	at      clock.Instant
	reserve float64
	pace    float64 // per second
	// spent is the total of what this gateway had used before.
	spent float64
}

// left returns what may still be used under the announcement, given the total of what
// has been used. It holds for a limited time.
func (a announcement) left(spent float64, now clock.Instant, limit time.Duration) float64 {
	return a.reserve + a.pace*min(now.Sub(a.at), limit).Seconds() - (spent - a.spent)
}
