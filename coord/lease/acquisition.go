package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Acquisition describes how the present holder acquired the lease.
type Acquisition struct {
	// Fence is the fencing number of the holder.
	Fence uint64
	// At is when the holder learned that it holds the lease. The lease of the
	// former holder had ended by then.
	At clock.Instant
	// First reports that nobody held the lease before.
	First bool
}
