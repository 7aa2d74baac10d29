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
	// Cause tells why the lease could be acquired.
	Cause Cause
	// Former is the fencing number in the row that the acquisition replaced; 0 if there
	// was no row.
	Former uint64
	// Timeline is that of the table service in which the row was read.
	Timeline uint64
}
