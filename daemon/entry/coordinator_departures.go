package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

const (
	// departurePublishTime is how long this gateway publishes that an upstream has said
	// that it is leaving: long enough for all others to read it.
	departurePublishTime = 15 * time.Second
	// maxPublishedDepartures bounds those that are published at once.
	maxPublishedDepartures = 64
)

// handleDeparted publishes that an upstream has said that it is leaving.
func (c *coordinator) handleDeparted(d roster.Departure, now clock.Instant) {
	c.departedAt[d] = now
	c.updateDepartures(now)
	c.shareRecord(true, now)
}

// updateDepartures brings the departures in this gateway's record up to date.
func (c *coordinator) updateDepartures(now clock.Instant) {
	c.record.Departures = nil
	for d, at := range c.departedAt {
		switch {
		case now.Sub(at) >= departurePublishTime:
			delete(c.departedAt, d)
		case len(c.record.Departures) < maxPublishedDepartures:
			c.record.Departures = append(c.record.Departures, d)
		}
	}
}

// publishDepartures tells the watch duty of the upstreams that have told other
// gateways that they are leaving, once each.
func (c *coordinator) publishDepartures() {
	published := make(map[roster.Departure]bool)
	var fresh []roster.Departure
	for _, record := range c.view.Live() {
		if record.Instance == c.record.Instance {
			continue
		}
		for _, d := range record.Departures {
			if !published[d] && !c.departuresPassed[d] {
				fresh = append(fresh, d)
			}
			published[d] = true
		}
	}
	if len(fresh) > 0 && c.watch.Offer(watchMessage{departed: fresh, source: roster.SourcePeer}) != nil {
		// They are published again after the next read.
		for _, d := range fresh {
			delete(published, d)
		}
	}
	c.departuresPassed = published
}
