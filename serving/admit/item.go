package admit

import (
	"math"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// never is after every instant.
const never = clock.Instant(math.MaxInt64)

// item is an entry with its places in the heaps.
type item struct {
	entry Entry
	flow  *flow
	// startBy is the latest start by which the target can be met.
	startBy clock.Instant
	// expires is the latest start by which the deadline can be met.
	expires clock.Instant
	// late items can't meet their target any more.
	late bool
	// position is the index in each heap, by order.
	position [orders]int
}
