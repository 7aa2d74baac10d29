package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// alone is followers for a controller without links.
type alone struct {
	self string
}

// PublishConfiguration implements followers.
func (alone) PublishConfiguration(*intent.Configuration) error { return nil }

// PublishFleet implements followers.
func (alone) PublishFleet(uint64, []fleet.Instance, []string) error { return nil }

// PublishNotices implements followers.
func (alone) PublishNotices([]spread.Notice) error { return nil }

// Await implements followers.
func (a alone) Await(version uint64, _ time.Duration, reply *ring.Ring[spread.Progress]) error {
	return reply.Offer(spread.Progress{Version: version, Settled: true, Holders: []string{a.self}})
}
