package entry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// watched is a table that the watch duty follows.
type watched struct {
	table string
	// version is that of the last answer; 0 until the whole table was read.
	version uint64
	// wantList is set when the whole table is to be read.
	wantList bool
	calling  bool
	// retryAt is when the next call may be made after a failure.
	retryAt clock.Instant
	isAway  bool
	heard   clock.Instant
}
