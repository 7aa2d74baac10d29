package entry

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/dump"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

const (
	// maxFeedWait and minFeedWait bound how long the store holds a feed request open
	// while there are no changes.
	maxFeedWait = 5 * time.Second
	minFeedWait = 500 * time.Millisecond
	// feedWaitShare is the share of the propagation limit for which the store holds
	// a feed request. A connection that has gone silent is only detected when the
	// request times out.
	feedWaitShare = 0.55
	// baseBatchDelay is the delay of the next call after a change of the upstreams,
	// so that changes in quick succession are read by one call.
	// batchDelayPerUpstream is added for each upstream, since the rate of changes
	// grows with the number of upstreams.
	baseBatchDelay        = 300 * time.Millisecond
	batchDelayPerUpstream = 4 * time.Millisecond
	// maxBatchDelayShare is the share of the propagation limit that this delay may
	// take.
	maxBatchDelayShare = 0.25
	// hubFeedWait and hubBatchDelay are the wait and the batch delay of a hub. They are
	// short since a hub passes on how old its knowledge is, and what it knows.
	hubFeedWait   = 800 * time.Millisecond
	hubBatchDelay = 300 * time.Millisecond
	// hubFeedWaitShare is the largest share of the propagation limit for hubFeedWait, and
	// pollIntervalShare that for the time between two polls of a hub. Their sum is less
	// than newsTimeoutShare, so that a gateway with a sound hub does not call the store.
	hubFeedWaitShare  = 0.35
	pollIntervalShare = 0.25
	// minPollLimit is the least that pollIntervalShare may come to.
	minPollLimit = 250 * time.Millisecond
	// newsTimeoutShare is the share of the propagation limit after which the store is
	// called, from the last time at which a hub knew the table to be current.
	newsTimeoutShare = 0.7
	// storeResponseTime is the time in which a store that is not impaired answers.
	storeResponseTime = 100 * time.Millisecond
	// maxLoggedChanges is the number of changes of upstreams in one response up to
	// which each is logged.
	maxLoggedChanges = 16
	// watchRetryDelay is the delay after a failed call.
	watchRetryDelay = 150 * time.Millisecond
	// maxThrottleDelay bounds what is added to that delay while the store is asked for
	// more than it allows.
	maxThrottleDelay = 2 * time.Second
	// recoveryGrace is the time after the store becomes available again in which
	// live upstreams write their entries anew.
	recoveryGrace = 2 * time.Second
	// expiryHeartbeats is the least number of heartbeats of an upstream from an outage of
	// the store until its entry expires in it: it expires after three, of which up to one
	// had passed.
	expiryHeartbeats = 2
)

// watch is the duty that follows the configuration and the list of upstreams in
// the store and passes changes to the other duties. It lists each table once and
// then follows its feed of changes.
type watch struct {
	inbox     *ring.Ring[watchMessage]
	dispatch  *ring.Ring[dispatchMessage]
	directory *ring.Ring[directoryMessage]
	cluster   *ring.Ring[clusterMessage]
	peers     *ring.Ring[peerMessage]
	store     *rows.Client
	clock     clock.Clock
	log       zerolog.Logger
	// propagationLimit is the time within which a change must have taken effect.
	propagationLimit time.Duration

	containment containment
	metrics     *metrics
	// throttleBackoff spreads the calls of all gateways after the store has rejected
	// some of them for their number.
	throttleBackoff *retry.Backoff

	// sendClock tells when the store sent its responses.
	sendClock exchange.SendClock
	tables    map[string]*watchedTable
	roster    *roster.Roster
	// config is the newest configuration that this process knows; nil if it knows none.
	config *configCopy
	// isHub is set if this gateway follows the store for others.
	isHub bool
	// announcedReady is set once the directory and the cluster duty have been told
	// that this process can serve requests.
	announcedReady bool
	// upstreamsChanged is set while dispatch lacks the current list of upstreams.
	upstreamsChanged bool
	// configChanged is set while dispatch lacks the current configuration.
	configChanged bool
	// client asks the gateways that catchUp selects, which decides whether config may be used.
	// loggedStanding is the last standing that was logged.
	client         *peerClient
	catchUp        *exchange.CatchUp
	loggedStanding exchange.Standing
	// rollouts are the orders of roll-outs. rolloutsChanged is set while dispatch lacks
	// them, and rolloutsUnplanned while the cluster duty does.
	rollouts                           *rollout.Book
	rolloutsChanged, rolloutsUnplanned bool
	// fleetChanged is set while the cluster duty lacks a change of either.
	fleetChanged bool
}

func newWatch(instance string) *watch {
	return &watch{
		catchUp:  exchange.NewCatchUp(instance),
		roster:   roster.New(recoveryGrace),
		rollouts: rollout.NewBook(),
		throttleBackoff: retry.NewBackoff(
			retry.Config{BaseBackoff: watchRetryDelay, MaxBackoff: maxThrottleDelay}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		tables: map[string]*watchedTable{
			served.ConfigTable:   {table: served.ConfigTable, needsList: true},
			served.UpstreamTable: {table: served.UpstreamTable, needsList: true},
		},
	}
}

func (w *watch) run() error {
	for {
		now := w.clock.Now()
		w.askGateways(now)
		for _, t := range w.tables {
			w.startCall(t, now)
		}
		m, ok, err := w.inbox.TakeUntil(w.timeout(now))
		if err != nil {
			return nil
		}
		now = w.clock.Now()
		if ok {
			w.containment.run(m, now, func() { w.handle(m, now) })
		}
		w.publish(now)
	}
}

func (w *watch) handle(m watchMessage, now clock.Instant) {
	switch {
	case m.dump != nil:
		_ = m.dump.Offer(report.Section{Name: "watch", State: w.dump(now)})
	case m.role != nil:
		w.isHub = m.role.isHub
	case m.gatewaysTimeline != 0:
		w.catchUp.Known(m.gateways, m.gatewaysTimeline, now)
	case m.catchUpAsked != nil:
		w.answerCatchUp(m.catchUpAsked)
	case m.caughtUp != nil:
		w.handleCaughtUp(m.caughtUp, now)
	case m.draining != nil:
		w.handleDraining(m, now)
	case m.updates != nil:
		w.handleNews(m.updates, m.sentAt, now)
	default:
		w.handleResponse(m, now)
	}
}

// timeout returns the time until a call, an expiry of the roster or another try to
// publish is due.
func (w *watch) timeout(now clock.Instant) time.Duration {
	wait := w.feedWait()
	if w.upstreamsChanged || w.configChanged || w.fleetChanged {
		wait = watchRetryDelay
	}
	for _, t := range w.tables {
		if !t.calling {
			wait = min(wait, w.callDue(t).Sub(now))
		}
	}
	if next, ok := w.roster.NextExpiry(); ok {
		wait = min(wait, next.Sub(now))
	}
	if next, ok := w.catchUp.NextDue(); ok {
		wait = min(wait, next)
	}
	if next, ok := w.rollouts.NextExpiry(); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(wait, 0)
}

// publish sends changes to the other duties; what finds no room in a ring is sent
// again later. Once dispatch has a configuration and a list of upstreams, it
// announces that this process can serve requests.
func (w *watch) publish(now clock.Instant) {
	if next, ok := w.roster.NextExpiry(); ok && !now.Before(next) {
		w.upstreamsChanged = true
	}
	if w.configChanged && w.mayUseConfig(now) && w.dispatch.Offer(setCatalog{catalog: w.config.Catalog}) == nil {
		w.configChanged, w.fleetChanged = false, true
		w.catchUp.Use()
		w.logConfigInForce()
	}
	if w.upstreamsChanged && w.dispatch.Offer(setUpstreams{list: w.roster.Usable(now)}) == nil {
		w.upstreamsChanged = false
		w.fleetChanged = true
	}
	w.publishRollouts(now)
	if w.fleetChanged && w.cluster.Offer(setFleet{catalog: w.catalogInUse(), upstreams: w.roster.List()}) == nil {
		w.fleetChanged = false
	}
	if !w.announcedReady && w.config != nil && w.tables[served.UpstreamTable].cursor.Position().Version > 0 && !w.upstreamsChanged && !w.configChanged {
		w.announcedReady = true
		w.log.Info().Uint64("config", w.config.Version).Msg("ready")
		offerOrLog(w.directory, directoryMessage{isConfigured: true}, w.log)
		offerOrLog(w.cluster, clusterMessage(setReady{}), w.log)
	}
}

func (w *watch) dump(now clock.Instant) dump.Watch {
	d := dump.Watch{
		CatchUp:   w.catchUp.State(now),
		Entries:   len(w.roster.Entries()),
		Usable:    len(w.roster.Usable(now)),
		Draining:  w.roster.DrainingCount(),
		Versions:  make(map[string]uint64),
		Timelines: make(map[string]uint64),
		AgeMillis: make(map[string]int64),
	}
	if w.config != nil {
		d.Config, d.ConfigSource = w.config.Version, w.config.source
	}
	for name, t := range w.tables {
		d.Versions[name] = t.cursor.Position().Version
		d.Timelines[name] = t.cursor.Position().Timeline
		d.AgeMillis[name] = now.Sub(t.updatedAt).Milliseconds()
	}
	return d
}
