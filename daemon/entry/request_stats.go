package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// requestStats holds the usage counts since the previous message, by usage window,
// each customer's use of its limit and what it may use beyond that, when these were
// counted, the load of each service and the rate at which one of its engines reads
// prompt tokens.
type requestStats struct {
	counts    map[int64]usage.Counts
	used      map[string]limit.Use
	reserves  map[string]limit.Reserve
	countedAt clock.Instant
	// spent are the totals of what this process has used of the limits that it holds.
	spent map[string]float64
	// rollouts are the newest known stages of roll-outs, and rolloutEvidence what this
	// gateway has counted in them.
	rollouts        []rollout.Stage
	rolloutEvidence []rollout.Evidence
	loads           map[string]scale.Load
	readRates       map[string]float64
	// evidence is what this gateway knows of prompt parts that may crash upstreams,
	// with times of the monotonic clock, and isUrgent is set if the others should get
	// it at once.
	evidence []quarantine.Evidence
	isUrgent bool
	// hasEnded is set if this process serves no further requests and uses nothing of limits
	// any more.
	hasEnded bool
}

func (requestStats) isClusterMessage() {}
