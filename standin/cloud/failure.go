package cloud

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// FailureCapacity refuses a start for lack of capacity.
const FailureCapacity host.FailureType = "insufficient_capacity"
