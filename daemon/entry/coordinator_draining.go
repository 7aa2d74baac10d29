package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

const (
	// drainingPublishTime is how long this gateway publishes that an upstream is leaving:
	// long enough for all others to read it.
	drainingPublishTime = 15 * time.Second
	// maxPublishedDraining bounds those that are published at once.
	maxPublishedDraining = 64
)

// handleDraining publishes that upstreams are leaving.
func (c *coordinator) handleDraining(list []roster.Incarnation, now clock.Instant) {
	for _, d := range list {
		c.drainingAt[d] = now
	}
	c.updateDraining(now)
	c.shareRecord(true, now)
}

// updateDraining brings the draining upstreams in this gateway's record up to date.
func (c *coordinator) updateDraining(now clock.Instant) {
	c.record.Draining = nil
	for d, at := range c.drainingAt {
		switch {
		case now.Sub(at) >= drainingPublishTime:
			delete(c.drainingAt, d)
		case len(c.record.Draining) < maxPublishedDraining:
			c.record.Draining = append(c.record.Draining, d)
		}
	}
}

// publishDraining tells the watch duty of the upstreams that have told other
// gateways that they are leaving, once each.
func (c *coordinator) publishDraining() {
	published := make(map[roster.Incarnation]bool)
	var fresh []roster.Incarnation
	for _, record := range c.view.Live() {
		if record.Instance == c.record.Instance {
			continue
		}
		for _, d := range record.Draining {
			if !published[d] && !c.drainingPassed[d] {
				fresh = append(fresh, d)
			}
			published[d] = true
		}
	}
	if len(fresh) > 0 && c.watch.Offer(watchMessage{draining: fresh, source: roster.SourcePeer}) != nil {
		// They are published again after the next read.
		for _, d := range fresh {
			delete(published, d)
		}
	}
	c.drainingPassed = published
}
