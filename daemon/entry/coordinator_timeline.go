package entry

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
)

// timelineKey names the row that tells when a timeline of the store began.
func timelineKey(timeline uint64) row.Key {
	return row.Key{Sort: "timeline/" + strconv.FormatUint(timeline, 10)}
}

// observeTimeline notes the timeline of the store. In a new one this gateway writes its record
// again: the store has lost what the gateway's next start needs to know of its use of limits.
func (c *coordinator) observeTimeline(timeline uint64, now clock.Instant) {
	if c.timelineAge.observe(timeline, now) {
		c.hurryHeartbeat(c.restartHeartbeatInterval(), now)
	}
}

// fixTimelineStart stores when the timeline of the store began, as far as this gateway
// knows, unless an earlier holder has done so. A holder that knows nothing of it takes the
// present for its beginning.
func (c *coordinator) fixTimelineStart(now clock.Instant) {
	began := now
	if !c.timelineAge.isFirst {
		began = c.timelineAge.since
	}
	value, err := cbor.Marshal(c.wallTime(began))
	if err != nil {
		c.log.Error().Str("cause", err.Error()).Msg("timeline_not_encoded")
		c.retryReport(now)
		return
	}
	if !c.reserve() {
		c.retryReport(now)
		return
	}
	c.reporting = true
	timeline := c.timelineAge.timeline
	put := rows.Put{Table: usageTable, Key: timelineKey(timeline), Value: value, Conditional: true, Timeline: timeline}
	c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
		offerResult(c.inbox, clusterMessage(timelineStored{timeline: timeline, err: err}), c.log)
	})
}

// handleTimelineStored reads back when the timeline began. After a conflict it is what an
// earlier holder has stored.
func (c *coordinator) handleTimelineStored(m timelineStored, now clock.Instant) {
	var conflict *row.ConflictError
	if m.err != nil && !errors.As(m.err, &conflict) {
		c.log.Warn().Uint64("timeline", m.timeline).Str("cause", m.err.Error()).Msg("timeline_not_fixed")
		c.retryReport(now)
		return
	}
	if !c.reserve() {
		c.retryReport(now)
		return
	}
	c.store.First(usageTable, "", timelineKey(m.timeline).Sort, func(p rows.Page, err error) {
		offerResult(c.inbox, clusterMessage(timelineRead{timeline: m.timeline, page: p, err: err}), c.log)
	})
}

func (c *coordinator) handleTimelineRead(m timelineRead, now clock.Instant) {
	if m.err != nil || m.timeline != c.timelineAge.timeline || len(m.page.Rows) == 0 || m.page.Rows[0].Key != timelineKey(m.timeline) {
		c.log.Warn().Uint64("timeline", m.timeline).Msg("timeline_not_read")
		c.retryReport(now)
		return
	}
	var began time.Duration
	if err := cbor.Unmarshal(m.page.Rows[0].Value, &began); err != nil {
		// Nothing is known of what was reported before now.
		c.log.Error().Uint64("timeline", m.timeline).Str("cause", err.Error()).Msg("timeline_not_decoded")
		began = c.wallTime(now)
	}
	c.ledger.Doubt(began)
	c.doubtKnownFor, c.reporting, c.reportAt = m.timeline, false, now
	c.log.Info().Uint64("timeline", m.timeline).Int64("began_ms", began.Milliseconds()).Msg("usage_doubted")
}
