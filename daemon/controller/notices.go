package controller

import "github.com/sycamorecourse/sycamorecourse/serving/reclaim"

// Notices are reclaim notices and the cursor from which to go on.
type Notices struct {
	// List holds the notices, oldest first.
	List []reclaim.Notice
	// Cursor is where to go on.
	Cursor uint64
}
