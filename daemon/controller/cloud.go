package controller

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Cloud is the part of the cloud API that the fleet duty uses. All calls are
// asynchronous: done runs later on a thread of the client and must not block.
type Cloud interface {
	// Instances lists the live and leaving instances. The list is eventually
	// consistent.
	Instances(done func([]fleet.Instance, error))
	// Prices lists the current offers.
	Prices(done func(price.List, error))
	// Notices returns the reclaim notices after a cursor. Without any, it waits
	// for a limited time.
	Notices(cursor uint64, done func(Notices, error))
	// Start starts an instance; calls with the same token start it once. It fails
	// with a *StartRefusedError if the cloud refused and started nothing.
	Start(request StartRequest, done func(fleet.Instance, error))
	// End ends an instance. It succeeds if the instance no longer exists.
	End(instance string, done func(error))
}
