package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// standalone is the publisher of a controller without links: there are no other
// processes to update.
type standalone struct {
	self string
}

// PublishConfiguration implements publisher.
func (standalone) PublishConfiguration(*intent.Configuration) error { return nil }

// PublishFleet implements publisher.
func (standalone) PublishFleet(uint64, []fleet.Instance, []string) error { return nil }

// PublishNotices implements publisher.
func (standalone) PublishNotices([]spread.Notice) error { return nil }

// Await implements publisher. It replies at once that this process has the
// version.
func (a standalone) Await(version uint64, _ time.Duration, reply *ring.Ring[spread.Progress]) error {
	return reply.Offer(spread.Progress{Version: version, Settled: true, Holders: []string{a.self}})
}
