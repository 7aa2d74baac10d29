package rowstore

import "github.com/sycamorecourse/sycamorecourse/standin/host"

// feedRequest is a call for the feed that waits for a change of its table after
// version since. It has ended once it was answered.
type feedRequest struct {
	call  *host.Call
	table string
	since uint64
	ended bool
}
