package cloud

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// FailureCapacity is the type of the error when a start was refused because no
// machine is free.
const FailureCapacity host.FailureType = "insufficient_capacity"
