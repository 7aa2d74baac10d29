package entry

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// leaseRead is the result of a read that the lease asked for.
type leaseRead struct {
	found row.Row
	err   error
}

func (leaseRead) isClusterMessage() {}
