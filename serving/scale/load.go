package scale

import "math"

const (
	// targetUtilization is the fraction of its slots, or of its time to read prompts,
	// that an upstream of a large group is planned to use.
	targetUtilization = 0.62
	// squareRootMargin is the number of upstreams added per square root of the work:
	// in a small group, random imbalance loads some much more than others.
	squareRootMargin = 1.2
	// defaultReadRate is the rate, in tokens per second, at which one upstream reads
	// prompts, until it is known.
	defaultReadRate = 50_000.0
)

// Load is the load on a service, from one gateway or from several.
type Load struct {
	// Open is the number of requests in progress.
	Open float64 `cbor:"1,keyasint"`
	// PromptTokenRate is the number of prompt tokens to read per second.
	PromptTokenRate float64 `cbor:"2,keyasint" json:"Reading"`
}

// Add adds another load.
func (l *Load) Add(other Load) {
	l.Open += other.Open
	l.PromptTokenRate += other.PromptTokenRate
}

// requiredUpstreams returns the number of upstreams with the given slots and rate
// of reading, in tokens per second, that the load requires. It is at least one.
func (l Load) requiredUpstreams(slots int, readRate float64) int {
	// work is the number of upstreams that the load would keep fully busy.
	work := max(l.Open/float64(max(slots, 1)), l.PromptTokenRate/readRate)
	return int(math.Ceil(max(work/targetUtilization+squareRootMargin*math.Sqrt(work), 1)))
}
