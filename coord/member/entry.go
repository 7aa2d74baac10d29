package member

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// entry is the state that a View keeps of one other process.
type entry struct {
	update      Update
	updatedAt   clock.Instant // when update was stored
	lastHeard   clock.Instant // last sign of life, or when monitoring began
	isNeighbour bool          // chosen by this process, which monitors it
}
