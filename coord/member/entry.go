package member

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// entry is what a view holds of one other process.
type entry struct {
	update Update
	since  clock.Instant // when the update was taken in
	heard  clock.Instant // when it was last heard, or its watch began
	watch  bool          // it is a neighbour
}
