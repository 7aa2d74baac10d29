package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// publisher passes configurations and instances to the other processes and
// learns which versions they have. No call blocks.
type publisher interface {
	// PublishConfiguration publishes a confirmed configuration.
	PublishConfiguration(c *intent.Configuration) error
	// PublishFleet publishes changes of the fleet. epoch is the fencing number of
	// the fleet lease: receivers ignore changes of an older epoch.
	PublishFleet(epoch uint64, upserts []fleet.Instance, removed []string) error
	// PublishNotices publishes reclaim notices. It needs no lease.
	PublishNotices(notices []spread.Notice) error
	// Await offers a Progress to reply once every live process has a version or a
	// later one, and at the latest after wait.
	Await(version uint64, wait time.Duration, reply *ring.Ring[spread.Progress]) error
}
