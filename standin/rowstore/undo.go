package rowstore

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// undo takes one transaction back.
type undo struct {
	at  clock.Instant // of the transaction
	era uint64
	// before holds the rows as they were; those without a version did not exist.
	before []Row
}
