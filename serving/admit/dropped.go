package admit

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Dropped is an entry that the queue gave up without dispatching it.
type Dropped struct {
	// Entry is the entry as admitted.
	Entry Entry
	// Reason is request.DeadlineUnmet, or request.Overloaded if the entry made
	// room for another customer.
	Reason request.Reason
}
