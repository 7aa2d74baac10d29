package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// heartbeat writes this gateway's record and then reads all records. The first
// time it only reads, since the record may hold usage counts of a former process
// of this instance, which are taken over first.
func (c *coordinator) heartbeat(now clock.Instant) {
	c.heartbeatActive = true
	c.heartbeatAt = now.Add(c.heartbeatInterval())
	if !c.hasRead {
		c.readRecords()
		return
	}
	c.record.Sequence++
	c.record.Windows = recordWindows(c.tally)
	c.record.WrittenAt = c.storeClock + now.Sub(c.storeClockReadAt)
	value, err := c.record.Encode()
	if err != nil {
		c.log.Error().Str("cause", err.Error()).Msg("card_not_encoded")
		c.heartbeatActive = false
		return
	}
	if !c.reserve() {
		c.heartbeatActive = false
		return
	}
	put := rows.Put{Table: gatewayTable, Key: row.Key{Sort: c.record.Instance}, Value: value}
	c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
		offerResult(c.inbox, clusterMessage(recordWritten{err: err}), c.log)
	})
}

// heartbeatInterval returns the time between two writes of this gateway's record.
func (c *coordinator) heartbeatInterval() time.Duration {
	interval := heartbeatPerGateway * time.Duration(len(c.view.ShareHolders()))
	return min(max(minHeartbeatInterval, interval), maxHeartbeatInterval)
}

// recordWindows returns the counts of a tally in the form of cluster.Record.
func recordWindows(t *usage.Tally) map[int64]map[string]uint64 {
	out := make(map[int64]map[string]uint64, len(t.Windows()))
	for window, counts := range t.Windows() {
		out[window] = counts
	}
	return out
}

func (c *coordinator) handleRecordWritten(m recordWritten, now clock.Instant) {
	if m.err != nil {
		c.markUnavailable(m.err)
		c.heartbeatActive = false
		return
	}
	c.readRecords()
}

func (c *coordinator) readRecords() {
	if !c.reserve() {
		c.heartbeatActive = false
		return
	}
	c.store.List(gatewayTable, "", func(p rows.Page, err error) {
		offerResult(c.inbox, clusterMessage(recordsRead{page: p, err: err}), c.log)
	})
}

func (c *coordinator) handleRecordsRead(m recordsRead, now clock.Instant) {
	c.heartbeatActive = false
	if m.err != nil {
		c.markUnavailable(m.err)
		return
	}
	c.markAvailable()
	records := make([]cluster.Record, 0, len(m.page.Rows))
	for _, r := range m.page.Rows {
		record, err := cluster.Decode(r.Key.Sort, r.Value)
		if err != nil {
			c.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		if record.WrittenAt != 0 {
			record.Age = max(m.page.Clock-record.WrittenAt, 0)
		}
		records = append(records, record)
	}
	c.view.SetTimeouts(min(time.Duration(liveHeartbeats*float64(c.heartbeatInterval())), maxLiveTimeout), shareTimeout)
	c.view.Update(records, now)
	if !c.hasRead {
		c.hasRead = true
		c.inheritCounts()
		c.heartbeatAt = now
	}
	c.record.ClockOffset = time.Duration(time.Now().UnixNano()) - m.page.Clock
	c.storeClock, c.storeClockReadAt = m.page.Clock, now
	c.tally.Trim(c.wallTime(now))
	c.publish(now)
	c.removeDeadRecords()
}

// inheritCounts takes over the usage counts that a former process of this instance
// has published.
func (c *coordinator) inheritCounts() {
	former, ok := c.view.Record(c.record.Instance)
	if !ok {
		return
	}
	for window, counts := range former.Windows {
		c.tally.Add(window, counts)
	}
	c.log.Info().Uint64("incarnation", former.Incarnation).Int("windows", len(former.Windows)).Msg("counts_inherited")
}

// publish sends what follows from the records to the other duties: the addresses
// of the ready gateways, this gateway's part of the limits and the clock offset.
func (c *coordinator) publish(now clock.Instant) {
	ready := c.view.Ready()
	addresses := make([]string, 0, len(ready))
	for _, record := range ready {
		addresses = append(addresses, record.Address)
	}
	if len(addresses) > 0 {
		offerOrLog(c.directory, directoryMessage{addresses: addresses}, c.log)
	}
	message := setDivision{division: c.view.Divide(c.record.Instance, now)}
	for _, record := range ready {
		if record.Instance != c.record.Instance {
			message.readyPeers++
		}
	}
	if isStale := c.view.IsStale(now); isStale != c.isStale {
		c.isStale = isStale
		c.log.Warn().Bool("reduced", isStale).Int("gateways", message.division.Gateways).Msg("limits_divided")
	}
	offerOrLog(c.dispatch, dispatchMessage(message), c.log)
	offerOrLog(c.dispatch, dispatchMessage(setClockOffset{offset: c.clockOffset()}), c.log)
}

// clockOffset returns the wall clock, as time since the Unix epoch, minus the
// monotonic clock. It uses the median of the gateways' wall clocks, so that all
// agree on the usage windows.
func (c *coordinator) clockOffset() time.Duration {
	offset, ok := c.view.ClockOffset()
	if !ok {
		offset = c.record.ClockOffset
	}
	return offset + c.storeClock - time.Duration(c.storeClockReadAt)
}

// wallTime returns the time since the Unix epoch.
func (c *coordinator) wallTime(now clock.Instant) time.Duration {
	return time.Duration(now) + c.clockOffset()
}

// removeDeadRecords removes the records of gateways that have been dead for
// deadRecordTimeout, if this gateway holds the lease.
func (c *coordinator) removeDeadRecords() {
	if !c.holdsLease {
		return
	}
	for _, name := range c.view.Silent(deadRecordTimeout) {
		put := rows.Put{Table: gatewayTable, Key: row.Key{Sort: name}, Delete: true}
		c.log.Info().Str("instance", name).Msg("row_removed")
		c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
			if err != nil {
				c.log.Warn().Str("instance", name).Str("cause", err.Error()).Msg("row_not_removed")
			}
		})
	}
}
