package entry

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

const (
	// longestFeed and shortestFeed bound how long the store holds a feed without
	// changes.
	longestFeed  = 5 * time.Second
	shortestFeed = 500 * time.Millisecond
	// feedShare is the part of the time in which news must have arrived that the
	// store holds a feed: a connection that has gone silent is found at its end.
	feedShare = 0.55
	// gatherTime is the pause after a change, so that those that come together
	// cost one call, and gatherPerUpstream what each upstream adds to it: the more
	// there are, the more often one of them changes.
	gatherTime        = 300 * time.Millisecond
	gatherPerUpstream = 4 * time.Millisecond
	// gatherShare is the part of the time in which news must have arrived that the
	// pause may take.
	gatherShare = 0.25
	// watchRetry is the wait after a failed call.
	watchRetry = 150 * time.Millisecond
	// lapseGrace is the time after the store's return in which the entries of live
	// upstreams come back.
	lapseGrace = 2 * time.Second
)

// watch is the duty that follows the configuration and the upstreams in the
// store.
type watch struct {
	inbox     *ring.Ring[watchMessage]
	dispatch  *ring.Ring[dispatchMessage]
	directory *ring.Ring[directoryMessage]
	cluster   *ring.Ring[clusterMessage]
	store     *rows.Client
	clock     clock.Clock
	log       zerolog.Logger
	// newsLimit is the time in which news must have arrived.
	newsLimit time.Duration

	tables  map[string]*watched
	roster  *roster.Roster
	config  *catalog.Catalog
	told    bool // the others know that this process is configured
	pending bool // the list of upstreams has changed
	// configChanged is set while dispatch lacks the configuration.
	configChanged bool
	// fleetChanged is set while the cluster duty lacks what has changed.
	fleetChanged bool
}

// feedWait is how long the store holds a feed, given the time in which news must
// have arrived.
func feedWait(limit time.Duration) time.Duration {
	return min(max(time.Duration(feedShare*float64(limit)), shortestFeed), longestFeed)
}

// gather is the pause after a change of the upstreams.
func (w *watch) gather() time.Duration {
	pause := gatherTime + time.Duration(w.roster.Len())*gatherPerUpstream
	return min(pause, time.Duration(gatherShare*float64(w.newsLimit)))
}

func newWatch() *watch {
	return &watch{
		roster: roster.New(lapseGrace),
		tables: map[string]*watched{
			served.ConfigTable:   {table: served.ConfigTable, wantList: true},
			served.UpstreamTable: {table: served.UpstreamTable, wantList: true},
		},
	}
}

func (w *watch) run() error {
	for {
		now := w.clock.Now()
		for _, t := range w.tables {
			w.call(t, now)
		}
		m, ok, err := w.inbox.TakeUntil(w.wait(now))
		if err != nil {
			return nil
		}
		now = w.clock.Now()
		switch {
		case !ok:
		case m.dump != nil:
			_ = m.dump.Offer(report.Section{Name: "watch", State: w.dump(now)})
		default:
			w.heard(m, now)
		}
		w.tell(now)
	}
}

// wait is the time until a call or a change of the list is due.
func (w *watch) wait(now clock.Instant) time.Duration {
	wait := feedWait(w.newsLimit)
	if w.pending || w.configChanged || w.fleetChanged {
		wait = watchRetry
	}
	for _, t := range w.tables {
		if !t.calling {
			wait = min(wait, t.retryAt.Sub(now))
		}
	}
	if next, ok := w.roster.NextExpiry(); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(wait, 0)
}

func (w *watch) call(t *watched, now clock.Instant) {
	if t.calling || now.Before(t.retryAt) {
		return
	}
	if err := w.inbox.Reserve(); err != nil {
		t.retryAt = now.Add(watchRetry)
		return
	}
	t.calling = true
	isList := t.wantList
	done := func(p rows.Page, err error) {
		answer(w.inbox, watchMessage{table: t.table, isList: isList, page: p, err: err}, w.log)
	}
	if isList {
		w.store.List(t.table, "", done)
		return
	}
	w.store.Feed(t.table, t.version, feedWait(w.newsLimit), done)
}

func (w *watch) heard(m watchMessage, now clock.Instant) {
	t := w.tables[m.table]
	t.calling = false
	if m.err != nil {
		w.failed(t, m.err, now)
		return
	}
	if t.isAway {
		t.isAway = false
		w.log.Info().Str("dependency", "store").Str("by", t.table).Msg("dependency_back")
	}
	if t.table == served.UpstreamTable {
		w.roster.StoreAvailable(now)
	}
	if m.page.Version < t.version {
		// An older state than known is not taken.
		t.retryAt = now.Add(watchRetry)
		return
	}
	if len(m.page.Rows) > 0 && t.table == served.UpstreamTable {
		t.retryAt = now.Add(w.gather())
	}
	t.version = m.page.Version
	t.heard = now
	t.wantList = false
	if t.table == served.ConfigTable {
		w.takeConfig(m.page)
		return
	}
	w.takeUpstreams(m.page, m.isList, now)
}

func (w *watch) failed(t *watched, err error, now clock.Instant) {
	t.retryAt = now.Add(watchRetry)
	var history *rows.HistoryError
	if errors.As(err, &history) {
		w.log.Info().Str("table", t.table).Msg("history_forgotten")
		t.wantList = true
		t.retryAt = now
		return
	}
	if t.table == served.UpstreamTable {
		w.roster.StoreUnavailable()
	}
	w.log.Debug().Str("table", t.table).Str("cause", err.Error()).Msg("watch_failed")
	if !t.isAway {
		t.isAway = true
		w.log.Warn().Str("dependency", "store").Str("by", t.table).Str("cause", err.Error()).Msg("dependency_lost")
	}
}

func (w *watch) takeConfig(p rows.Page) {
	for _, r := range p.Rows {
		if r.Key.Sort != served.ConfigKey || r.Removed {
			continue
		}
		next, err := served.DecodeConfig(r.Value)
		if err != nil {
			w.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		if w.config != nil && next.Version <= w.config.Version {
			continue
		}
		w.config = next
		w.log.Info().Uint64("config", next.Version).Uint64("store_version", r.Version).
			Int("routes", next.RouteCount()).Int("customers", len(next.Customers)).Msg("config_in_force")
		w.configChanged = true
		w.fleetChanged = true
	}
}

func (w *watch) takeUpstreams(p rows.Page, isList bool, now clock.Instant) {
	if len(p.Rows) == 0 && !isList {
		offerOr(w.dispatch, dispatchMessage(confirmView{}), w.log)
		return
	}
	list := make(map[string]*catalog.Upstream)
	for _, r := range p.Rows {
		id := r.Key.Sort
		if r.Removed {
			w.log.Info().Str("upstream", id).Uint64("store_version", r.Version).Msg("upstream_removed")
			w.roster.Remove(id, now)
			continue
		}
		u, err := served.DecodeUpstream(id, r.Value)
		if err != nil {
			w.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			w.roster.Remove(id, now)
			continue
		}
		list[id] = u
		if !isList {
			w.roster.Set(u)
			w.log.Info().Str("upstream", id).Str("address", u.Address).Bool("leaving", u.Draining).
				Uint64("store_version", r.Version).Msg("upstream_changed")
		}
	}
	if isList {
		w.roster.Replace(list, now)
		w.log.Info().Int("upstreams", len(list)).Uint64("store_version", p.Version).Msg("upstreams_read")
	}
	w.pending = true
}

// tell gives the list to dispatch when it has changed, and says once that this
// process can take requests.
func (w *watch) tell(now clock.Instant) {
	if next, ok := w.roster.NextExpiry(); ok && !now.Before(next) {
		w.pending = true
	}
	if w.configChanged && w.dispatch.Offer(setCatalog{catalog: w.config}) == nil {
		w.configChanged = false
	}
	if w.pending && w.dispatch.Offer(setUpstreams{list: w.roster.Usable(now)}) == nil {
		w.pending = false
		w.fleetChanged = true
	}
	if w.fleetChanged && w.cluster.Offer(setFleet{catalog: w.config, upstreams: w.roster.List()}) == nil {
		w.fleetChanged = false
	}
	if !w.told && w.config != nil && w.tables[served.UpstreamTable].version > 0 && !w.pending && !w.configChanged {
		w.told = true
		w.log.Info().Uint64("config", w.config.Version).Msg("ready")
		offerOr(w.directory, directoryMessage{configured: true}, w.log)
		offerOr(w.cluster, clusterMessage(setReady{}), w.log)
	}
}

func (w *watch) dump(now clock.Instant) watchDump {
	d := watchDump{
		Entries:   len(w.roster.Entries()),
		Usable:    len(w.roster.Usable(now)),
		Versions:  make(map[string]uint64),
		AgeMillis: make(map[string]int64),
	}
	if w.config != nil {
		d.Config = w.config.Version
	}
	for name, t := range w.tables {
		d.Versions[name] = t.version
		d.AgeMillis[name] = now.Sub(t.heard).Milliseconds()
	}
	return d
}
