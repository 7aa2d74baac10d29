package engine

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// rateWindow is one second, so that a count over it is a rate per second.
const rateWindow = time.Second

// tokenRate counts generated tokens in a sliding window, as of the configured
// lag ago.
type tokenRate struct {
	lag    time.Duration
	counts []tokenCount
}

func (r *tokenRate) add(now clock.Instant, n int) {
	r.counts = append(r.counts, tokenCount{at: now, n: n})
	oldest := now.Add(-r.lag - rateWindow)
	keep := 0
	for keep < len(r.counts) && !r.counts[keep].at.After(oldest) {
		keep++
	}
	r.counts = append(r.counts[:0], r.counts[keep:]...)
}

// at returns the number of tokens generated in the window that ends at t.
func (r *tokenRate) at(t clock.Instant) int {
	from := t.Add(-rateWindow)
	total := 0
	for _, c := range r.counts {
		if c.at.After(from) && !c.at.After(t) {
			total += c.n
		}
	}
	return total
}
