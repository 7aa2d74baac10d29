package engine

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// rateWindow is the time over which tokens are counted.
const rateWindow = time.Second

// tokenRate counts generated tokens over the time that a lagging report needs.
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

// at returns the number of tokens in the second before an instant.
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
