package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// heartbeat writes this gateway's record and then reads all records. The first
// time it only reads, since the record may hold usage counts of a former process
// of this instance, which are taken over first.
func (c *coordinator) heartbeat(now clock.Instant) {
	c.heartbeatActive = true
	c.heartbeatAt = now.Add(c.heartbeatInterval())
	c.lastHeartbeat = now
	if !c.hasRead {
		c.readRecords()
		return
	}
	c.updateRecord(now)
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
	c.storedSpent, c.stored, c.storedCountedAt = c.spent, c.record.Reserves, c.spentAt
	put := rows.Put{Table: gatewayTable, Key: row.Key{Sort: c.record.Instance}, Value: value}
	share, hasEnded := c.record.Share, c.record.Ended
	c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
		offerResult(c.inbox, clusterMessage(recordWritten{share: share, hasEnded: hasEnded, err: err}), c.log)
	})
}

// hurryHeartbeat brings the next heartbeat forward, to the given time after the last
// one at the earliest.
func (c *coordinator) hurryHeartbeat(interval time.Duration, now clock.Instant) {
	c.heartbeatAt = min(c.heartbeatAt, max(now, c.lastHeartbeat.Add(interval)))
}

// updateRecord brings this gateway's record up to date before it is published.
func (c *coordinator) updateRecord(now clock.Instant) {
	c.record.Sequence++
	c.record.Windows = recordWindows(c.tally)
	c.updateDraining(now)
	c.record.WrittenAt = c.storeNow(now)
	c.record.Timeline = c.store.Timeline()
	c.records.Put(c.record)
}

// storeNow estimates the store's clock.
func (c *coordinator) storeNow(now clock.Instant) time.Duration {
	return c.storeClock + now.Sub(c.storeClockReadAt)
}

// shareRecord hands this gateway's record to the peers duty.
func (c *coordinator) shareRecord(isUrgent bool, now clock.Instant) {
	if !c.hasRead {
		return
	}
	c.updateRecord(now)
	needsCounts := c.holdsLease || c.view.IsCandidate(c.record.Instance, leaseCandidates)
	offerOrLog(c.peers, peerMessage(setOwnRecord{record: c.record, isUrgent: isUrgent, needsCounts: needsCounts}), c.log)
}

// hasNews reports whether hubs keep this gateway informed.
func (c *coordinator) hasNews(now clock.Instant) bool {
	return c.newsAt != 0 && now.Sub(c.newsAt) < maxNewsSilence
}

// heartbeatInterval returns the time between two writes of this gateway's record.
func (c *coordinator) heartbeatInterval() time.Duration {
	if c.hasNews(c.clock.Now()) {
		return peerHeartbeatInterval
	}
	interval := heartbeatPerGateway * time.Duration(len(c.view.ShareHolders()))
	return min(max(minHeartbeatInterval, interval), maxHeartbeatInterval)
}

// recordWindows returns a copy of the counts of a tally in the form of
// cluster.Record. Other threads read the record.
func recordWindows(t *usage.Tally) map[int64]map[string]uint64 {
	out := make(map[int64]map[string]uint64, len(t.Windows()))
	for window, counts := range t.Windows() {
		out[window] = maps.Clone(counts)
	}
	return out
}

func (c *coordinator) handleRecordWritten(m recordWritten, now clock.Instant) {
	if m.err != nil {
		c.markUnavailable(m.err)
		c.heartbeatActive = false
		if c.record.Ended {
			c.hurryHeartbeat(urgentHeartbeatInterval, now)
		}
		return
	}
	c.view.SharePublished(m.share)
	if m.hasEnded {
		offerOrLog(c.drain, drainMessage{endPublished: true}, c.log)
	}
	offerOrLog(c.dispatch, dispatchMessage(limitsStored{spent: c.storedSpent, reserves: c.stored, countedAt: c.storedCountedAt}), c.log)
	if c.hasNews(now) && now.Before(c.listAt) {
		c.heartbeatActive = false
		c.markAvailable()
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
	c.record.ClockOffset = time.Duration(time.Now().UnixNano()) - m.page.Clock
	c.storeClock, c.storeClockReadAt = m.page.Clock, now
	known := recordsKnown{clock: m.page.Clock, isComplete: true}
	for _, r := range m.page.Rows {
		record, err := cluster.Decode(r.Key.Sort, r.Value)
		if err != nil {
			c.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		known.records = append(known.records, record)
	}
	c.scheduleList(now)
	known.mergeInto(c.records, m.page.Clock)
	offerOrLog(c.peers, peerMessage(known), c.log)
	c.updateView(now)
	if !c.hasRead {
		c.hasRead = true
		c.inheritCounts(now)
		c.heartbeatAt = now
	}
	c.tally.Trim(c.wallTime(now))
	c.publish(now)
	c.removeDeadRecords()
}

// scheduleList sets when the records are next read from the store although hubs
// pass them on.
func (c *coordinator) scheduleList(now clock.Instant) {
	interval := peerListInterval
	if slices.Contains(c.hubs, c.record.Instance) {
		interval = hubListInterval
	}
	c.listAt = now.Add(interval)
}

// handleRecordsKnown takes over the records that other gateways have passed on.
func (c *coordinator) handleRecordsKnown(m recordsKnown, now clock.Instant) {
	if !c.hasRead {
		return
	}
	m.mergeInto(c.records, c.storeNow(now))
	if !m.fromHub {
		return
	}
	if m.clock-c.storeNow(now) > maxClockError {
		c.storeClock, c.storeClockReadAt = m.clock, now
	}
	c.newsAt = now
	c.updateView(now)
	c.tally.Trim(c.wallTime(now))
	c.publish(now)
}

// updateView updates the view of the cluster from the known records.
func (c *coordinator) updateView(now clock.Instant) {
	interval := c.heartbeatInterval()
	switch {
	case c.hasNews(now):
		interval = minHeartbeatInterval
	case len(c.hubs) > 0:
		// The others write their records as seldom as gateways with news do.
		interval = peerHeartbeatInterval
	}
	c.view.SetTimeouts(min(time.Duration(liveHeartbeats*float64(interval)), maxLiveTimeout), shareTimeout)
	c.view.Update(c.records.All(c.storeNow(now)), now)
}

// inheritCounts takes over what a former process of this instance has published:
// its usage counts, and its use of the customers' limits unless that was too long
// ago to count.
func (c *coordinator) inheritCounts(now clock.Instant) {
	former, ok := c.view.Record(c.record.Instance)
	if !ok {
		return
	}
	c.view.SharePublished(former.Share)
	for window, counts := range former.Windows {
		c.tally.Add(window, counts)
	}
	if former.CountAge < formerUseTime {
		// The first record of this process goes out before dispatch has told what it
		// uses: without the former use the others would take it for none.
		c.record.Used, c.record.Reserves = former.Used, former.Reserves
		if former.Ended {
			c.record.Reserves = nil
		}
		c.record.CountedAt = c.storeNow(now) - former.CountAge
		offerOrLog(c.dispatch, dispatchMessage(inheritUse{former: limit.Former{
			Used: former.Used, Reserves: former.Reserves, Age: former.CountAge, Ended: former.Ended,
		}}), c.log)
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
	c.record.Share = message.division.Share
	for _, record := range ready {
		if record.Instance != c.record.Instance {
			message.readyPeers++
		}
	}
	if isStale := c.view.IsStale(now); isStale != c.isStale {
		c.isStale = isStale
		c.log.Warn().Bool("reduced", isStale).Int("gateways", message.division.Gateways).Msg("limits_divided")
	}
	c.publishGateways()
	c.publishHubs(ready)
	c.publishEvidence(now)
	c.publishDraining()
	c.publishRollouts(now)
	offerOrLog(c.dispatch, dispatchMessage(message), c.log)
	offerOrLog(c.dispatch, dispatchMessage(setClockOffset{offset: c.clockOffset(), store: c.storeNow(0)}), c.log)
}

// publishGateways tells the watch duty of the other gateways once the store was restored:
// they may know what it has lost.
func (c *coordinator) publishGateways() {
	timeline := c.timelineAge.timeline
	if !exchange.IsRestored(timeline) {
		return
	}
	var list []exchange.Peer
	for _, r := range c.view.Others(c.record.Instance) {
		if r.PeerAddress != "" {
			list = append(list, exchange.Peer{Instance: r.Instance, Address: r.PeerAddress, Config: r.Config, IsLive: c.view.IsLive(r.Instance)})
		}
	}
	offerOrLog(c.watch, watchMessage{gateways: list, gatewaysTimeline: timeline}, c.log)
}

// publishHubs tells the peers and watch duties which gateways are hubs, if that has
// changed.
func (c *coordinator) publishHubs(ready []cluster.Record) {
	hubs := exchange.Hubs(ready)
	names := make([]string, 0, len(hubs))
	for _, hub := range hubs {
		names = append(names, hub.Instance)
	}
	if slices.Equal(names, c.hubs) {
		return
	}
	isHub := slices.Contains(names, c.record.Instance)
	if c.peers.Offer(setHubs{hubs: hubs, gateways: len(ready)}) != nil || c.watch.Offer(watchMessage{role: &watchRole{isHub: isHub}}) != nil {
		return
	}
	c.hubs = names
	c.log.Info().Int("hubs", len(hubs)).Bool("is_hub", isHub).Msg("hubs_changed")
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
