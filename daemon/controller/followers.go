package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// followers passes configurations and instances on to the other processes and
// learns which versions they have. Each call returns at once.
type followers interface {
	// PublishConfiguration passes a confirmed configuration on.
	PublishConfiguration(c *intent.Configuration) error
	// PublishFleet passes changes of the fleet on. Epoch is the fencing number
	// of the fleet lease: news of an older epoch is dropped.
	PublishFleet(epoch uint64, upserts []fleet.Instance, removed []string) error
	// PublishNotices passes reclaim notices on. It needs no lease.
	PublishNotices(notices []spread.Notice) error
	// Await offers to reply once every live process has a version or a later
	// one, and at the latest after the wait.
	Await(version uint64, wait time.Duration, reply *ring.Ring[spread.Progress]) error
}
