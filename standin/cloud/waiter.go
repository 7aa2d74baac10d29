package cloud

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// waiter is a call that waits for notices after a number.
type waiter struct {
	call  *host.Call
	after uint64
}
