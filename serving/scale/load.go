package scale

import "math"

const (
	// workShare is the share of its slots, or of its time to read prompts, that an
	// upstream is planned to use where there are many.
	workShare = 0.62
	// spread is the number of upstreams added for the square root of the work:
	// with few of them chance loads some much more than others.
	spread = 1.2
	// readTokensPerSecond is the number of prompt tokens that an upstream reads.
	readTokensPerSecond = 50_000
)

// Load is what a service has to carry, over all gateways.
type Load struct {
	// Open is the number of requests in progress.
	Open float64 `cbor:"1,keyasint"`
	// Reading is the number of prompt tokens a second that must be read.
	Reading float64 `cbor:"2,keyasint"`
}

// Add adds another load.
func (l *Load) Add(other Load) {
	l.Open += other.Open
	l.Reading += other.Reading
}

// need is the number of upstreams of so many slots that carry the load.
func (l Load) need(slots int) int {
	// As many would be busy all the time.
	work := max(l.Open/float64(max(slots, 1)), l.Reading/readTokensPerSecond)
	return int(math.Ceil(max(work/workShare+spread*math.Sqrt(work), 1)))
}
