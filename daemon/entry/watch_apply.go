package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// accept applies what the store or a hub has returned for a table, if the table's cursor
// accepts it. The store is known to have answered since an instant.
func (w *watch) accept(t *watchedTable, p rows.Page, span exchange.Span, since, now clock.Instant) exchange.Verdict {
	if t.isUnavailable {
		t.isUnavailable = false
		w.log.Info().Str("dependency", "store").Str("by", t.table).Msg("dependency_back")
	}
	if t.table == served.UpstreamTable {
		w.roster.StoreAvailable(now)
	}
	former := t.cursor.Position()
	verdict := t.cursor.Accept(span)
	w.recordUpdate(t, former, span, verdict)
	if verdict == exchange.Gap {
		t.needsList = true
	}
	if !verdict.IsApplied() {
		return verdict
	}
	t.updatedAt = now
	t.throttled = 0
	if span.IsList {
		t.needsList, t.gapAt = false, 0
	}
	switch {
	case t.table == served.ConfigTable:
		w.applyRollouts(p, span.IsList, now)
		w.applyConfig(p)
		if w.catchUp.Read(span.End.Timeline, now) {
			offerOrLog(w.cluster, clusterMessage(gatewaysWanted{}), w.log)
		}
	case verdict == exchange.Restored:
		w.restoreUpstreams(p, since, now)
	case span.IsList:
		w.replaceUpstreams(p, now)
	default:
		w.changeUpstreams(p, now)
	}
	return verdict
}

// recordUpdate counts an update of a table, and logs the first of each outcome for one of
// another timeline of the store.
func (w *watch) recordUpdate(t *watchedTable, former exchange.Position, span exchange.Span, verdict exchange.Verdict) {
	w.metrics.recordTableUpdate(t.table, verdict)
	if span.End.Timeline == former.Timeline {
		return
	}
	if verdict.IsApplied() || t.logged == nil {
		t.logged = make(map[exchange.Outcome]bool)
	}
	outcome := exchange.Outcome{Timeline: span.End.Timeline, IsList: span.IsList, Verdict: verdict}
	if t.logged[outcome] {
		return
	}
	t.logged[outcome] = true
	w.log.Info().Str("table", t.table).Bool("list", span.IsList).Str("verdict", string(verdict)).
		Uint64("timeline", span.End.Timeline).Uint64("version", span.End.Version).
		Uint64("known_timeline", former.Timeline).Uint64("known_version", former.Version).Msg("table_timeline")
}

// newsTimeout returns how long after a hub knew a table to be current this gateway
// relies on that instead of calling the store.
func (w *watch) newsTimeout() time.Duration {
	return time.Duration(newsTimeoutShare * float64(w.propagationLimit))
}

// handleNews applies what a hub, asked at an instant, knows of the tables.
func (w *watch) handleNews(updates []exchange.TableUpdate, sentAt, now clock.Instant) {
	for _, u := range updates {
		t := w.tables[u.Table]
		if t == nil {
			continue
		}
		confirmedAt := sentAt.Add(-u.Age)
		if w.accept(t, pageOf(u), u.Span(), confirmedAt, now).IsApplied() {
			t.newsUntil = max(t.newsUntil, confirmedAt.Add(w.newsTimeout()))
		}
	}
}

// sharePage hands what the store has returned to the peers duty. If that has no
// room, the whole table is read again, since the peers duty must not miss a change.
func (w *watch) sharePage(t *watchedTable, p rows.Page, span exchange.Span, now clock.Instant) {
	if err := w.peers.Offer(tableRead{update: updateOf(t.table, p, span), confirmedAt: w.confirmedAt(t, p, now)}); err != nil {
		w.log.Warn().Str("cause", err.Error()).Msg("message_dropped")
		t.needsList = true
	}
}

// handleDraining takes over which upstreams have said that they are leaving.
func (w *watch) handleDraining(m watchMessage, now clock.Instant) {
	for _, d := range m.draining {
		if !w.roster.MarkDraining(d, now) {
			continue
		}
		w.upstreamsChanged = true
		w.metrics.draining.WithLabelValues(string(m.source)).Inc()
		w.log.Info().Str("upstream", d.ID).Int64("started_ms", d.StartedAtMillis).Str("source", string(m.source)).Msg("upstream_draining")
	}
}

// changeUpstreams takes over changes of the upstreams.
func (w *watch) changeUpstreams(p rows.Page, now clock.Instant) {
	if len(p.Rows) == 0 {
		offerOrLog(w.dispatch, dispatchMessage(confirmUpstreams{}), w.log)
		return
	}
	// Each change has a line of its own unless there are many at once.
	level := zerolog.InfoLevel
	if len(p.Rows) > maxLoggedChanges {
		level = zerolog.DebugLevel
	}
	changed, removed := 0, 0
	for _, r := range p.Rows {
		id := r.Key.Sort
		if r.Removed {
			removed++
			w.log.WithLevel(level).Str("upstream", id).Uint64("store_version", r.Version).Uint64("timeline", p.Timeline).Msg("upstream_removed")
			w.roster.Remove(id, now)
			continue
		}
		u, err := served.DecodeUpstream(id, r.Value)
		if err != nil {
			w.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			w.roster.Remove(id, now)
			continue
		}
		changed++
		w.roster.Set(u)
		w.log.WithLevel(level).Str("upstream", id).Str("address", u.Address).Bool("leaving", u.Draining).
			Uint64("store_version", r.Version).Uint64("timeline", p.Timeline).Msg("upstream_changed")
	}
	if level == zerolog.DebugLevel {
		w.log.Info().Int("changed", changed).Int("removed", removed).Uint64("store_version", p.Version).
			Uint64("timeline", p.Timeline).Msg("upstreams_changed")
	}
	w.upstreamsChanged = true
}

// replaceUpstreams takes over a list of all upstreams.
func (w *watch) replaceUpstreams(p rows.Page, now clock.Instant) {
	list := w.listOf(p)
	w.roster.Replace(list, now)
	w.log.Info().Int("upstreams", len(list)).Uint64("store_version", p.Version).Uint64("timeline", p.Timeline).Msg("upstreams_read")
	w.upstreamsChanged = true
}

// restoreUpstreams takes over the first list of a timeline of the store, which was back at
// an instant. The others may not know either which upstreams it wrongly calls ready.
func (w *watch) restoreUpstreams(p rows.Page, since, now clock.Instant) {
	list := w.listOf(p)
	restored := w.roster.Restore(list, since, now)
	if len(restored.Leaving) > 0 {
		offerOrLog(w.cluster, clusterMessage(upstreamsDraining{incarnations: restored.Leaving}), w.log)
	}
	w.log.Info().Int("upstreams", len(list)).Int("lapsed", restored.Lapsed).Int("withheld", restored.Withheld).
		Int("leaving", len(restored.Leaving)).Uint64("store_version", p.Version).Uint64("timeline", p.Timeline).Msg("upstreams_restored")
	w.upstreamsChanged = true
}

// listOf returns the upstreams of a list, without rows that name none to use.
func (w *watch) listOf(p rows.Page) map[string]*catalog.Upstream {
	list := make(map[string]*catalog.Upstream)
	for _, r := range p.Rows {
		u, err := served.DecodeUpstream(r.Key.Sort, r.Value)
		if err != nil {
			w.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		list[u.ID] = u
	}
	return list
}
