package entry

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

const (
	// rolloutTable holds the stage of the roll-out of each service.
	rolloutTable = "rollouts"
	// rolloutInterval is the time between two looks at the roll-outs.
	rolloutInterval = 300 * time.Millisecond
	// defaultExposure is the part of the requests that may go to a version that proves to
	// be worse, if the settings do not tell.
	defaultExposure = 0.1
	// recordsSettleTime is the time after a change of the store's timeline, or the start of
	// this process, in which all gateways have published the stages that they know.
	recordsSettleTime = 2500 * time.Millisecond
)

// planRollouts decides on the next stages of the roll-outs. It is called while this
// gateway holds the lease.
func (c *coordinator) planRollouts(now clock.Instant) {
	if len(c.rolloutOrders) == 0 || c.fleet.catalog == nil || now.Sub(c.rolloutsAt) < rolloutInterval {
		return
	}
	c.rolloutsAt = now
	c.timelineAge.observe(c.store.Timeline(), now)
	for service, order := range c.rolloutOrders {
		stored := c.rollouts[service]
		switch {
		case c.fleet.catalog.Services[service] == nil:
			// The configuration may bring it yet.
		case stored == nil && (!c.hasRead || c.timelineAge.isBelow(recordsSettleTime, now)):
			// Other gateways may know of a stage that the store has lost.
		case stored == nil, !stored.isBusy && stored.timeline < c.store.Timeline():
			c.readRollout(service)
		case stored.isKnown && !stored.isBusy:
			c.planRollout(order, stored, now)
		}
	}
}

// planRollout decides on the next stage of one roll-out and stores it.
func (c *coordinator) planRollout(o rollout.Order, stored *storedRollout, now clock.Instant) {
	evidence := append([]rollout.Evidence{}, c.record.RolloutEvidence...)
	_, others := c.view.Rollouts(c.record.Instance)
	sum := rollout.Sum(o, append(evidence, others...))
	capacity := c.rolloutCapacity(o)
	present := c.newestStage(o, stored)
	if present.Outdates(o) && c.timelineAge.isBelow(rollout.RestoreGrace, now) {
		return
	}
	next, changed := c.rolloutPlanner.Next(o, present, sum, capacity, c.storeNow(now))
	wasLost := present.Revision == o.Revision && present.IsNewer(stored.stage)
	if (!changed && !wasLost) || !c.reserve() {
		return
	}
	next = next.In(stored.timeline)
	fence, err := c.lease.Fence(now)
	if err != nil {
		c.inbox.Release()
		return
	}
	c.log.Info().Str("service", o.Service).Str("to", o.To).Str("state", string(next.State)).Float64("share", next.Share).
		Uint64("order", o.Revision).Uint64("sequence", next.Sequence).Uint64("fence", fence).Bool("worse", sum.IsWorse()).
		Int("slots_new", capacity.New).Int("slots_old", capacity.Old).Int("open_old", sum.OpenOld).
		Interface("new", sum.New).Interface("old", sum.Old).Msg("rollout_stage")
	if next.State == rollout.RolledBack {
		// Nothing is lost if the others stop before the store has it.
		c.spreadStage(next, now)
	}
	c.writeRollout(next, stored)
}

// newestStage returns the newest stage of a service that is stored or that a gateway knows:
// a store that was restored from an older copy may have lost it.
func (c *coordinator) newestStage(o rollout.Order, stored *storedRollout) rollout.Stage {
	known, _ := c.view.Rollouts(c.record.Instance)
	known = append(known, c.record.Rollouts...)
	return rollout.Newest(o, append(known, stored.stage))
}

// rolloutCapacity returns the slots of the upstreams of a service by version.
func (c *coordinator) rolloutCapacity(o rollout.Order) rollout.Capacity {
	var capacity rollout.Capacity
	for _, u := range c.fleet.upstreams {
		switch {
		case u.Service != o.Service || u.Draining:
		case u.Version == o.To:
			capacity.New += u.Slots
		default:
			capacity.Old += u.Slots
			if !slices.Contains(capacity.OldVersions, u.Version) {
				capacity.OldVersions = append(capacity.OldVersions, u.Version)
			}
		}
	}
	return capacity
}

// spreadStage makes all gateways go by a stage.
func (c *coordinator) spreadStage(s rollout.Stage, now clock.Instant) {
	offerOrLog(c.dispatch, dispatchMessage(hearRollouts{stages: []rollout.Stage{s}}), c.log)
	c.record.Rollouts = append(c.record.Rollouts, s)
	c.shareRecord(true, now)
	c.hurryHeartbeat(urgentHeartbeatInterval, now)
}

func (c *coordinator) readRollout(service string) {
	if !c.reserve() {
		return
	}
	c.rollouts[service] = &storedRollout{isBusy: true}
	c.store.First(rolloutTable, "", service, func(p rows.Page, err error) {
		offerResult(c.inbox, clusterMessage(rolloutRead{service: service, page: p, err: err}), c.log)
	})
}

func (c *coordinator) handleRolloutRead(m rolloutRead) {
	stored := c.rollouts[m.service]
	if stored == nil {
		return
	}
	if m.err != nil {
		delete(c.rollouts, m.service)
		c.log.Warn().Str("service", m.service).Str("cause", m.err.Error()).Msg("rollout_not_read")
		return
	}
	stored.isBusy, stored.isKnown, stored.timeline = false, true, m.page.Timeline
	if len(m.page.Rows) == 0 || m.page.Rows[0].Key.Sort != m.service {
		return
	}
	found := m.page.Rows[0]
	stored.version = found.Version
	if err := cbor.Unmarshal(found.Value, &stored.stage); err != nil {
		// A row that can't be read is replaced.
		c.log.Warn().Str("service", m.service).Str("cause", err.Error()).Msg("rollout_not_decoded")
	}
}

// writeRollout stores a stage together with the state that the operator reads.
func (c *coordinator) writeRollout(s rollout.Stage, stored *storedRollout) {
	value, err := cbor.Marshal(s)
	if err == nil {
		var status []byte
		if status, err = served.EncodeRolloutStatus(s); err == nil {
			stored.isBusy = true
			c.store.Write([]rows.Put{
				stagePut(s.Service, value, stored),
				{Table: served.StatusTable, Key: row.Key{Sort: served.RolloutPrefix + s.Service}, Value: status},
			}, func(version uint64, err error) {
				offerResult(c.inbox, clusterMessage(rolloutWritten{stage: s, version: version, err: err}), c.log)
			})
			return
		}
	}
	c.inbox.Release()
	c.log.Error().Str("service", s.Service).Str("cause", err.Error()).Msg("rollout_not_encoded")
}

// stagePut returns the write of a stage under the condition that the row is as it was read.
func stagePut(service string, value []byte, stored *storedRollout) rows.Put {
	return rows.Put{
		Table: rolloutTable, Key: row.Key{Sort: service}, Value: value,
		Conditional: true, Expect: stored.version, Timeline: stored.timeline,
	}
}

// handleRolloutWritten makes all gateways go by a stage that has been stored. After a
// failure the row is read again: another holder may have written it, or the store may
// have done so although its response is missing.
func (c *coordinator) handleRolloutWritten(m rolloutWritten, now clock.Instant) {
	stored := c.rollouts[m.stage.Service]
	if m.err != nil || stored == nil {
		delete(c.rollouts, m.stage.Service)
		if m.err != nil {
			c.log.Warn().Str("service", m.stage.Service).Str("cause", m.err.Error()).Msg("rollout_not_stored")
		}
		return
	}
	stored.isBusy, stored.stage, stored.version = false, m.stage, m.version
	c.spreadStage(m.stage, now)
}

// publishRollouts tells dispatch what the other gateways have published of roll-outs.
func (c *coordinator) publishRollouts(now clock.Instant) {
	c.timelineAge.observe(c.store.Timeline(), now)
	if len(c.rolloutOrders) == 0 {
		return
	}
	stages, evidence := c.view.Rollouts(c.record.Instance)
	offerOrLog(c.dispatch, dispatchMessage(hearRollouts{stages: stages, evidence: evidence}), c.log)
}
