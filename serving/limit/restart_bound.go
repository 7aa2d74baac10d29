package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// restartTime is the time after a record of this gateway was counted for which a process
// that takes the place of this one relies on it. Then the store has been away, and that
// process expects more.
const restartTime = 3 * time.Second

// restartBound is what the store tells a process that takes the place of this one.
type restartBound struct {
	// reserve is what this process may use beyond its use in the store, and spent the total
	// of what it had used when that was counted.
	reserve, spent float64
	countedAt      clock.Instant
}

// isInForce reports whether the bound holds at an instant.
func (b restartBound) isInForce(now clock.Instant) bool {
	return now.Sub(b.countedAt) < restartTime
}

// left returns what may still be used, given the total of what has been used.
func (b restartBound) left(spent float64) float64 {
	return b.reserve - (spent - b.spent)
}
