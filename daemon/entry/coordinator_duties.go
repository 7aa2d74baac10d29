package entry

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// runLeaseStep carries out a step that the lease asks for.
func (c *coordinator) runLeaseStep(s lease.Step) {
	c.leaseStepAt = 0
	switch s := s.(type) {
	case lease.Read:
		if !c.reserve() {
			c.runLeaseStep(c.lease.ReadResult(row.Row{}, &row.UnavailableError{Err: &InboxFullError{}}, c.clock.Now()))
			return
		}
		c.leases.Read(s.Key, func(found row.Row, err error) {
			offerResult(c.inbox, clusterMessage(leaseRead{found: found, err: err}), c.log)
		})
	case lease.Write:
		if !c.reserve() {
			c.runLeaseStep(c.lease.Written(&row.UnavailableError{Err: &InboxFullError{}}, c.clock.Now()))
			return
		}
		c.leases.Write(s.Transaction.Changes[0], func(err error) {
			offerResult(c.inbox, clusterMessage(leaseWritten{err: err}), c.log)
		})
	case lease.Wait:
		c.leaseStepAt = s.Until
	case lease.Ended:
		c.log.Info().Msg("lease_given_up")
	}
}

// handleLeaseRead hands a row that was read to the lease, and reports a row whose
// fencing number is lower than one that was known.
func (c *coordinator) handleLeaseRead(m leaseRead, now clock.Instant) {
	known := c.lease.LastKnown().Fence
	c.runLeaseStep(c.lease.ReadResult(m.found, m.err, now))
	if read := c.lease.LastKnown(); m.err == nil && read.Fence < known {
		c.log.Warn().Uint64("fence", read.Fence).Uint64("known_fence", known).Str("holder", read.Holder.Instance).
			Uint64("version", m.found.Version).Uint64("timeline", m.found.Timeline).Msg("lease_went_back")
	}
}

// nextLeaseStep takes the next step of the lease, unless this gateway is neither
// its holder nor a candidate for it.
func (c *coordinator) nextLeaseStep(now clock.Instant) {
	if !c.isLeaving && !c.holdsLease && !c.view.IsCandidate(c.record.Instance, leaseCandidates) {
		c.leaseStepAt = now.Add(leaseWatchInterval)
		return
	}
	c.runLeaseStep(c.lease.Next(now))
}

// checkLease detects that this gateway has got or lost the lease. A new holder
// starts without the reporting and planning state of its earlier terms.
func (c *coordinator) checkLease(now clock.Instant) {
	fence, err := c.lease.Fence(now)
	holds := err == nil
	if holds == c.holdsLease {
		return
	}
	c.holdsLease = holds
	c.logDuties(fence, err)
	if !holds {
		return
	}
	c.rollouts = make(map[string]*storedRollout)
	c.reportAt = now
	switch c.lease.Acquired().Cause {
	case lease.CauseRestored:
		// The term goes on: nobody else can have held the lease meanwhile.
	case lease.CauseRefused:
		// Somebody has used a higher number, and may have reported with it.
		c.termAt, c.reportAt = now, now.Add(reportRetryDelay)
		c.ledger.Doubt(c.wallTime(now))
	default:
		c.termAt = now
		c.reporter.Restart()
		c.planner = scale.NewPlanner()
	}
}

// logDuties reports that this gateway has got or lost the lease, and why. err is the
// failure to get its fencing number.
func (c *coordinator) logDuties(fence uint64, err error) {
	line := c.log.Info().Bool("holds", c.holdsLease)
	if err != nil {
		last := c.lease.LastKnown()
		line.Uint64("fence", last.Fence).Str("holder", last.Holder.Instance).Str("cause", "not_held").Msg("duties_changed")
		return
	}
	a := c.lease.Acquired()
	c.metrics.recordAcquired(a.Cause)
	line.Uint64("fence", fence).Uint64("former_fence", a.Former).Str("cause", string(a.Cause)).
		Uint64("timeline", a.Timeline).Msg("duties_changed")
}

// reportNextWindow begins the report of the next window that is due by storing its
// counts, unless they are stored already. A repeated report, also one by a later
// lease holder, reads them back and therefore always has the same counts. Where the store
// may have lost some, the ledger tells which windows may be reported.
func (c *coordinator) reportNextWindow(now clock.Instant) {
	if !c.reportsUsage || c.storeClockReadAt == 0 {
		return
	}
	if c.doubtKnownFor != c.timelineAge.timeline {
		c.fixTimelineStart(now)
		return
	}
	window, ok := c.reporter.Due(c.wallTime(now), c.wallTime(c.view.CountsPublishedUntil())-countsDelay)
	if !ok {
		c.reportAt = now.Add(reportRetryDelay)
		return
	}
	c.ledger.StartTerm(c.wallTime(c.termAt))
	if !c.ledger.MayFix(window) {
		c.log.Warn().Int64("window", window).Uint64("timeline", c.timelineAge.timeline).Msg("usage_skipped")
		c.reporter.Done(window)
		c.reportAt = now
		return
	}
	known, isFixed := c.ledger.Fixed(window)
	if !isFixed {
		known = c.view.Usage(window)
	}
	counts, err := cbor.Marshal(known)
	if err != nil {
		c.log.Error().Str("cause", err.Error()).Msg("counts_not_encoded")
		c.reporter.Done(window)
		return
	}
	if !c.reserve() {
		c.retryReport(now)
		return
	}
	c.reporting = true
	c.store.Write(c.usagePuts(window, counts), func(_ uint64, err error) {
		offerResult(c.inbox, clusterMessage(countsStored{window: window, err: err}), c.log)
	})
}

// usagePuts returns the write that fixes the counts of a window, unless they are fixed or
// a holder has begun to report in a later timeline of the store.
func (c *coordinator) usagePuts(window int64, counts []byte) []rows.Put {
	puts := []rows.Put{{Table: usageTable, Key: usageKey(window), Value: counts, Conditional: true, Timeline: c.doubtKnownFor}}
	if c.doubtKnownFor > 0 {
		next := timelineKey(c.doubtKnownFor + 1)
		puts = append(puts, rows.Put{Table: usageTable, Key: next, Check: true, Conditional: true, Timeline: c.doubtKnownFor})
	}
	return puts
}

func usageKey(window int64) row.Key {
	return row.Key{Sort: strconv.FormatInt(window, 10)}
}

// handleCountsStored reads the stored counts back. After a conflict they are those
// that an earlier report has stored.
func (c *coordinator) handleCountsStored(m countsStored) {
	var conflict *row.ConflictError
	if m.err != nil && !errors.As(m.err, &conflict) {
		c.log.Warn().Int64("window", m.window).Str("cause", m.err.Error()).Msg("usage_not_fixed")
		c.retryReport(c.clock.Now())
		return
	}
	if !c.reserve() {
		c.retryReport(c.clock.Now())
		return
	}
	c.store.First(usageTable, "", usageKey(m.window).Sort, func(p rows.Page, err error) {
		offerResult(c.inbox, clusterMessage(countsRead{window: m.window, page: p, err: err}), c.log)
	})
}

func (c *coordinator) handleCountsRead(m countsRead, now clock.Instant) {
	// The ledger was asked in the timeline doubtKnownFor.
	if m.err != nil || m.page.Timeline != c.doubtKnownFor || len(m.page.Rows) == 0 || m.page.Rows[0].Key != usageKey(m.window) {
		c.log.Warn().Int64("window", m.window).Msg("usage_not_read")
		c.retryReport(now)
		return
	}
	var counts map[string]uint64
	if err := cbor.Unmarshal(m.page.Rows[0].Value, &counts); err != nil {
		c.log.Error().Int64("window", m.window).Str("cause", err.Error()).Msg("usage_not_decoded")
		c.reporting = false
		c.reporter.Done(m.window)
		return
	}
	if !c.ledger.Fix(m.window, counts) {
		c.log.Error().Int64("window", m.window).Uint64("timeline", c.timelineAge.timeline).Msg("usage_contradicts")
		c.reporting = false
		c.reporter.Done(m.window)
		return
	}
	fence, err := c.lease.Fence(now)
	if err != nil {
		c.reporting = false
		return
	}
	if !c.reserve() {
		c.retryReport(now)
		return
	}
	actor := cloud.Actor{Name: c.record.Instance, Fence: fence}
	c.cloud.ReportUsage(actor, m.window, counts, func(err error) {
		offerResult(c.inbox, clusterMessage(usageReported{window: m.window, fence: fence, err: err}), c.log)
	})
}

func (c *coordinator) handleUsageReported(m usageReported, now clock.Instant) {
	c.reporting = false
	switch {
	case m.err == nil:
		c.lease.Accepted(m.fence)
		c.lastReported = m.window
		c.reporter.Done(m.window)
		c.log.Info().Int64("window", m.window).Uint64("fence", m.fence).Msg("usage_reported")
	case cloud.IsFenced(m.err):
		c.refusedFence = m.fence
		c.metrics.recordRefused(dutyUsage)
		c.log.Warn().Int64("window", m.window).Uint64("fence", m.fence).Msg("usage_fenced")
		c.runLeaseStep(c.lease.Refused(m.fence, now))
	default:
		c.log.Warn().Int64("window", m.window).Uint64("fence", m.fence).Str("cause", m.err.Error()).Msg("usage_not_reported")
		c.retryReport(now)
	}
}

func (c *coordinator) retryReport(now clock.Instant) {
	c.reporting = false
	c.reportAt = now.Add(reportRetryDelay)
}
