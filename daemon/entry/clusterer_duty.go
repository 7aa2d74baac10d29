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

// step carries out what the lease asks for.
func (c *clusterer) step(s lease.Step) {
	c.leaseAt = 0
	switch s := s.(type) {
	case lease.Read:
		if !c.reserve() {
			c.step(c.lease.ReadResult(row.Row{}, &row.UnavailableError{Err: &BusyError{}}, c.clock.Now()))
			return
		}
		c.leases.Read(s.Key, func(found row.Row, err error) {
			answer(c.inbox, clusterMessage(leaseRead{found: found, err: err}), c.log)
		})
	case lease.Write:
		if !c.reserve() {
			c.step(c.lease.Written(&row.UnavailableError{Err: &BusyError{}}, c.clock.Now()))
			return
		}
		c.leases.Write(s.Transaction.Changes[0], func(err error) {
			answer(c.inbox, clusterMessage(leaseWritten{err: err}), c.log)
		})
	case lease.Wait:
		c.leaseAt = s.Until
	case lease.Ended:
		c.log.Info().Msg("lease_given_up")
	}
}

// nextStep goes on with the lease, unless others are the ones that watch it.
func (c *clusterer) nextStep(now clock.Instant) {
	if !c.isLeaving && !c.holds && !c.view.IsCandidate(c.card.Instance, candidates) {
		c.leaseAt = now.Add(leaseWatch)
		return
	}
	c.step(c.lease.Next(now))
}

// noteLease logs and acts on a change of who holds the lease.
func (c *clusterer) noteLease(now clock.Instant) {
	fence, err := c.lease.Fence(now)
	holds := err == nil && fence != c.barred
	if holds == c.holds {
		return
	}
	c.holds = holds
	c.log.Info().Bool("holds", holds).Uint64("fence", c.lease.LastKnown().Fence).Msg("duties_changed")
	if holds {
		c.reporter.Restart()
		c.planner = scale.NewPlanner()
		c.reportAt = now
	}
}

// reportNext fixes the counts of the next window that is due: a report that was
// made once is never made with other counts.
func (c *clusterer) reportNext(now clock.Instant) {
	if !c.reports || c.steadyAt == 0 {
		return
	}
	window, ok := c.reporter.Due(c.trueTime(now), c.trueTime(c.view.CountsPublishedUntil())-c.interval())
	if !ok {
		c.reportAt = now.Add(reportRetry)
		return
	}
	counts, err := cbor.Marshal(c.view.Usage(window))
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
	put := rows.Put{Table: usageTable, Key: usageKey(window), Value: counts, Conditional: true}
	c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
		answer(c.inbox, clusterMessage(decided{window: window, err: err}), c.log)
	})
}

func usageKey(window int64) row.Key {
	return row.Key{Sort: strconv.FormatInt(window, 10)}
}

// decided reads the counts back, whoever has written them.
func (c *clusterer) decided(m decided) {
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
		answer(c.inbox, clusterMessage(decidedRead{window: m.window, page: p, err: err}), c.log)
	})
}

func (c *clusterer) decidedRead(m decidedRead, now clock.Instant) {
	if m.err != nil || len(m.page.Rows) == 0 || m.page.Rows[0].Key != usageKey(m.window) {
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
	fence, err := c.lease.Fence(now)
	if err != nil || fence == c.barred {
		c.reporting = false
		return
	}
	if !c.reserve() {
		c.retryReport(now)
		return
	}
	actor := cloud.Actor{Name: c.card.Instance, Fence: fence}
	c.cloud.ReportUsage(actor, m.window, counts, func(err error) {
		answer(c.inbox, clusterMessage(reported{window: m.window, fence: fence, err: err}), c.log)
	})
}

func (c *clusterer) reported(m reported, now clock.Instant) {
	c.reporting = false
	switch {
	case m.err == nil:
		c.lastDone = m.window
		c.reporter.Done(m.window)
		c.log.Info().Int64("window", m.window).Uint64("fence", m.fence).Msg("usage_reported")
	case cloud.IsFenced(m.err):
		c.barred = m.fence
		c.log.Warn().Int64("window", m.window).Uint64("fence", m.fence).Msg("usage_fenced")
	default:
		c.log.Warn().Int64("window", m.window).Uint64("fence", m.fence).Str("cause", m.err.Error()).Msg("usage_not_reported")
		c.retryReport(now)
	}
}

func (c *clusterer) retryReport(now clock.Instant) {
	c.reporting = false
	c.reportAt = now.Add(reportRetry)
}
