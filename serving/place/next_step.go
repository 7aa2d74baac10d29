package place

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

const (
	// startingDivisor limits the instances of a pool that start at a time to one
	// in so many, because starts share the rate limit of the weight store.
	startingDivisor = 3
	// minStarting is the number of instances that may start together in a pool
	// of any size.
	minStarting = 2
)

// NextStep returns the next instances of a pool to start and end. A live
// instance is ended only if the other live ones are as many as the target has.
func NextStep(target *Target, instances []fleet.Instance) Step {
	r := newReconciler(target, instances)
	return Step{Starts: r.starts(), Ends: r.ends()}
}

// MaxStarting returns how many instances of a pool with the given total may be
// starting at a time.
func MaxStarting(total int) int {
	return max(minStarting, ceilDiv(total, startingDivisor))
}
