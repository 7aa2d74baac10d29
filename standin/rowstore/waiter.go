package rowstore

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// waiter is a feed that waits for a change.
type waiter struct {
	call  *host.Call
	table string
	since uint64
	ended bool
}
