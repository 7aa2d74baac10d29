package cloud

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// waiter is a long poll for the notices after a number.
type waiter struct {
	call  *host.Call
	after uint64
}
