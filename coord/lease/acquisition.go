package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Acquisition says how a lease came to its present holder.
type Acquisition struct {
	// Fence is the fencing number.
	Fence uint64
	// At is when the holder learnt that it holds the lease. The lease of the
	// former holder had ended by then.
	At clock.Instant
	// First reports that nobody held the lease before.
	First bool
}
