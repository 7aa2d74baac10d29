package entry

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// leaseRead is the result of a lease.Read step.
type leaseRead struct {
	found row.Row
	err   error
}

func (leaseRead) isClusterMessage() {}
