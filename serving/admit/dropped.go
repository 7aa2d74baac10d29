package admit

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Dropped is an entry that left the queue without being dispatched.
type Dropped struct {
	// Entry is the entry.
	Entry Entry
	// Reason is request.DeadlineUnmet or request.Overloaded.
	Reason request.Reason
}
