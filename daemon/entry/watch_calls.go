package entry

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// feedWait returns how long the store holds a feed request open.
func (w *watch) feedWait() time.Duration {
	wait := min(max(time.Duration(feedWaitShare*float64(w.propagationLimit)), minFeedWait), maxFeedWait)
	if w.isHub {
		share := time.Duration(hubFeedWaitShare * float64(w.propagationLimit))
		return min(wait, hubFeedWait, max(share, minFeedWait))
	}
	return wait
}

// batchDelay returns the delay of the next call after a change of the upstreams.
func (w *watch) batchDelay() time.Duration {
	if w.isHub {
		return hubBatchDelay
	}
	delay := baseBatchDelay + time.Duration(w.roster.Len())*batchDelayPerUpstream
	return min(delay, time.Duration(maxBatchDelayShare*float64(w.propagationLimit)))
}

// callDue returns when the next call for a table is due.
func (w *watch) callDue(t *watchedTable) clock.Instant {
	if w.isHub || t.needsList {
		return t.nextCallAt
	}
	return max(t.nextCallAt, t.newsUntil)
}

func (w *watch) startCall(t *watchedTable, now clock.Instant) {
	if t.calling || now.Before(w.callDue(t)) {
		return
	}
	if err := w.inbox.Reserve(); err != nil {
		t.nextCallAt = now.Add(watchRetryDelay)
		return
	}
	known := t.cursor.Position()
	isList := t.needsList || w.store.Timeline() > known.Timeline
	t.calling, t.calledAt, t.heldFor, t.calledSince = true, now, 0, known.Version
	done := func(p rows.Page, err error) {
		offerResult(w.inbox, watchMessage{table: t.table, isList: isList, page: p, err: err}, w.log)
	}
	if isList {
		w.store.List(t.table, "", done)
		return
	}
	t.heldFor = w.feedWait()
	w.store.Feed(t.table, known.Version, t.heldFor, done)
}

// confirmedAt returns until when the response to the last call for a table was current
// at least. The response of a store that answers in time has just been sent; a later one
// may have waited here, for example while the process was suspended, or in the link.
func (w *watch) confirmedAt(t *watchedTable, p rows.Page, now clock.Instant) clock.Instant {
	return min(now, t.calledAt.Add(t.heldFor+storeResponseTime), w.sendClock.SentAt(p.Clock, now))
}

func (w *watch) handleResponse(m watchMessage, now clock.Instant) {
	t := w.tables[m.table]
	t.calling = false
	if m.err != nil {
		w.handleFailure(t, m.err, now)
		return
	}
	span, since := spanOf(m.page, m.isList, t.calledSince), t.calledAt
	if t.gapAt != 0 {
		since = t.gapAt
	}
	switch w.accept(t, m.page, span, since, now) {
	case exchange.Stale:
		t.nextCallAt = now.Add(watchRetryDelay)
	case exchange.Gap:
		t.nextCallAt, t.gapAt = now, since
	default:
		if len(m.page.Rows) > 0 && t.table == served.UpstreamTable {
			t.nextCallAt = now.Add(w.batchDelay())
		}
		w.sharePage(t, m.page, span, now)
	}
}

func (w *watch) handleFailure(t *watchedTable, err error, now clock.Instant) {
	t.nextCallAt = now.Add(w.retryDelay(t, err))
	var history *rows.HistoryError
	if errors.As(err, &history) {
		w.log.Info().Str("table", t.table).Msg("history_forgotten")
		t.needsList = true
		t.nextCallAt = now
		if t.gapAt == 0 {
			t.gapAt = t.calledAt
		}
		return
	}
	var late *row.TimelineError
	if errors.As(err, &late) {
		// The store has answered, before it was restored.
		t.needsList = true
		return
	}
	t.gapAt = 0
	if t.table == served.UpstreamTable {
		w.roster.StoreUnavailable(t.calledAt)
	}
	offerOrLog(w.peers, peerMessage(tableRead{update: exchange.TableUpdate{Table: t.table}, failed: true}), w.log)
	w.log.Debug().Str("table", t.table).Str("cause", err.Error()).Msg("watch_failed")
	if !t.isUnavailable {
		t.isUnavailable = true
		w.log.Warn().Str("dependency", "store").Str("by", t.table).Str("cause", err.Error()).Msg("dependency_lost")
	}
}

// retryDelay returns the delay after a failed call. It grows while the store is
// asked for more than it allows: after a restart of all gateways each of them reads
// whole tables, and calls that come back at once would keep it so.
func (w *watch) retryDelay(t *watchedTable, err error) time.Duration {
	if !rows.IsThrottled(err) {
		return watchRetryDelay
	}
	t.throttled++
	return watchRetryDelay + w.throttleBackoff.RandomDelay(t.throttled)
}
