package controller

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Cloud is the part of the cloud API that the fleet duty uses. Each call
// returns at once; done is called later on a thread that must not be held up.
type Cloud interface {
	// Instances lists the live and leaving instances; the list lags.
	Instances(done func([]fleet.Instance, error))
	// Prices lists the offers.
	Prices(done func(price.List, error))
	// Notices waits for the reclaim notices after a cursor, for a while.
	Notices(cursor uint64, done func(Notices, error))
	// Start starts an instance. The same token starts it once. It fails with a
	// *StartRefusedError when the cloud has refused and started nothing.
	Start(request StartRequest, done func(fleet.Instance, error))
	// End ends an instance. Ending one that is gone succeeds.
	End(instance string, done func(error))
}
