package controller

import "github.com/sycamorecourse/sycamorecourse/serving/reclaim"

// Notices is a batch of reclaim notices.
type Notices struct {
	// List holds the notices, oldest first.
	List []reclaim.Notice
	// Cursor is passed to the next call to continue after this batch.
	Cursor uint64
}
