package place

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

const (
	// startsPerPool is the part of a pool that may start at a time: one in so
	// many instances. Starts share the weight store's rate limit.
	startsPerPool = 3
	// minStarts is the number of instances that may always start together.
	minStarts = 2
)

// Next decides on the next instances to start and end. Instances holds those of
// the pool. An instance is ended only when enough others take work.
func Next(target *Target, instances []fleet.Instance) Step {
	c := newCensus(target, instances)
	return Step{Starts: c.starts(), Ends: c.ends()}
}

// MaxStarting returns how many instances of a pool may be starting at a time.
func MaxStarting(total int) int {
	return max(minStarts, ceilDiv(total, startsPerPool))
}
