package bench

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
)

// job is one request with what became of it.
type job struct {
	entry        admit.Entry
	class        *Class
	customer     int
	blocks       []uint64
	promptTokens int
	answerTokens int

	attempts []*attempt
	sent     int
	avoid    []string
	firstAt  clock.Instant
	ended    bool
	// dispatchedAt is when the first attempt was sent.
	dispatchedAt clock.Instant
}

func (j *job) live() int {
	n := 0
	for _, a := range j.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

func (j *job) isMeasured() bool {
	return j.entry.Arrived >= clock.Instant(warmUp)
}
