package admit

import (
	"math"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// never is after every instant.
const never = clock.Instant(math.MaxInt64)

// item is a waiting entry. It is in one heap of its flow and in the expiry heap
// of the queue.
type item struct {
	entry Entry
	flow  *flow
	// startBy is the latest start with which the target is met.
	startBy clock.Instant
	// expires is the latest start with which the deadline is met.
	expires clock.Instant
	// late is set when the target can no longer be met.
	late bool
	// heapIndex holds the index in each heap, by the heap's order.
	heapIndex [orderCount]int
}
