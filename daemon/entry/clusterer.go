package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

const (
	// cardTable holds the gateways' rows.
	cardTable = "gateways"
	// leaseTable holds the leases of singleton duties.
	leaseTable = "leases"
	// usageTable holds the counts of windows as they were fixed for the report.
	usageTable = "usage"
	// leaseName names the lease of all singleton duties.
	leaseName = "duties"
	// heartbeatEvery is the least time between two writes of the own row.
	heartbeatEvery = time.Second
	// heartbeatEach is added up over the gateways to the time between two writes,
	// so that the writes of all together stay bounded.
	heartbeatEach = 50 * time.Millisecond
	// longestHeartbeat bounds the time between two writes.
	longestHeartbeat = 1800 * time.Millisecond
	// silentBeats is the number of heartbeats for which a row may stay as it is
	// until callers are not told of its gateway any more.
	silentBeats = 2.3
	// longestSilence bounds that time: callers are told of no gateway for longer
	// than that and a heartbeat after it has gone.
	longestSilence = 3600 * time.Millisecond
	// holdLimit is how long a gateway keeps its part of the customers' limits
	// without a change of its row.
	holdLimit = 8 * time.Second
	// candidates is the number of gateways that watch the lease of the duties.
	candidates = 3
	// removeAfter is how long the row of a dead gateway stays.
	removeAfter = time.Minute
	// usageSettle is how long after the end of a window all gateways have told
	// their counts.
	usageSettle = 4500 * time.Millisecond
	// reportRetry is the wait after a report that failed.
	reportRetry = 500 * time.Millisecond
)

// clusterer is the duty that keeps what the gateways tell each other, and
// carries the singleton duties while it holds their lease.
type clusterer struct {
	inbox     *ring.Ring[clusterMessage]
	dispatch  *ring.Ring[dispatchMessage]
	directory *ring.Ring[directoryMessage]
	store     *rows.Client
	leases    *rows.Table
	cloud     *cloud.Client
	clock     clock.Clock
	log       zerolog.Logger

	card     cluster.Record
	view     *cluster.View
	tally    *usage.Tally
	reporter *usage.Reporter
	reports  bool
	planner  *scale.Planner
	fleet    setFleet
	planned  clock.Instant
	orders   bool

	lease     *lease.Lease
	leaseAt   clock.Instant // when the lease's next step is due; 0 while it calls
	holds     bool
	barred    uint64 // fencing number that was refused
	beatAt    clock.Instant
	beating   bool // a write or read of rows is under way
	readOnce  bool
	isStale   bool // the others may have taken over this gateway's part of limits
	isAway    bool
	isLeaving bool
	reporting bool
	reportAt  clock.Instant
	lastDone  int64
	storeAt   time.Duration // the store's clock at the last read
	steadyAt  clock.Instant // the steady clock then
}

func (c *clusterer) run() error {
	now := c.clock.Now()
	c.beatAt = now
	c.step(c.lease.Next(now))
	for {
		now = c.clock.Now()
		m, ok, err := c.inbox.TakeUntil(c.wait(now))
		if err != nil {
			return nil
		}
		now = c.clock.Now()
		if ok {
			c.handle(m, now)
		}
		c.tick(now)
	}
}

// wait is the time until something is due.
func (c *clusterer) wait(now clock.Instant) time.Duration {
	wait := c.interval()
	if !c.beating {
		wait = min(wait, c.beatAt.Sub(now))
	}
	if c.leaseAt != 0 {
		wait = min(wait, c.leaseAt.Sub(now))
	}
	if c.holds && !c.reporting {
		wait = min(wait, max(c.reportAt.Sub(now), reportRetry))
	}
	return max(wait, 0)
}

func (c *clusterer) tick(now clock.Instant) {
	if !c.beating && !now.Before(c.beatAt) {
		c.beat(now)
	}
	if c.leaseAt != 0 && !now.Before(c.leaseAt) {
		c.nextStep(now)
	}
	if c.readOnce && !c.isStale && c.view.IsStale(now) {
		c.share(now)
	}
	c.noteLease(now)
	if c.holds && !c.reporting && !now.Before(c.reportAt) {
		c.reportNext(now)
	}
	if c.holds {
		c.plan(now)
	}
}

func (c *clusterer) handle(m clusterMessage, now clock.Instant) {
	switch m := m.(type) {
	case tallied:
		for window, counts := range m.counts {
			c.tally.Add(window, counts)
		}
		c.card.Demand = m.demand
		c.card.Loads = m.loads
	case cardsRead:
		c.read(m, now)
	case cardWritten:
		c.written(m, now)
	case leaseRead:
		c.step(c.lease.ReadResult(m.found, m.err, now))
	case leaseWritten:
		c.step(c.lease.Written(m.err, now))
	case decided:
		c.decided(m)
	case decidedRead:
		c.decidedRead(m, now)
	case reported:
		c.reported(m, now)
	case ordered:
		c.ordered(m, now)
	case setFleet:
		c.fleet = m
	case setReady:
		c.card.Ready = !c.isLeaving
		c.beatAt = now
	case leaveCluster:
		c.leave(now)
	case dumpCluster:
		_ = m.reply.Offer(report.Section{Name: "cluster", State: c.dump()})
	}
}

func (c *clusterer) dump() clusterDump {
	return clusterDump{
		Live:     c.view.Live(),
		Ready:    c.card.Ready,
		Holds:    c.holds,
		Fence:    c.lease.LastKnown().Fence,
		Barred:   c.barred,
		Reported: c.lastDone,
	}
}

// leave takes this gateway out of the others' lists and gives the lease up.
func (c *clusterer) leave(now clock.Instant) {
	c.isLeaving = true
	c.card.Ready = false
	c.beatAt = now
	c.step(c.lease.Release(now))
}

func (c *clusterer) away(err error) {
	if !c.isAway {
		c.isAway = true
		c.log.Warn().Str("dependency", "store").Str("by", "cluster").Str("cause", err.Error()).Msg("dependency_lost")
	}
}

func (c *clusterer) back() {
	if c.isAway {
		c.isAway = false
		c.log.Info().Str("dependency", "store").Str("by", "cluster").Msg("dependency_back")
	}
}

// reserve sets a slot aside for the answer of a call. Without room the call is
// not made.
func (c *clusterer) reserve() bool {
	if err := c.inbox.Reserve(); err != nil {
		c.log.Warn().Str("cause", err.Error()).Msg("call_not_made")
		return false
	}
	return true
}

// answer offers what a slot was reserved for, which fails only at the end of the
// process.
func answer[T any](inbox *ring.Ring[T], m T, log zerolog.Logger) {
	if err := inbox.OfferReserved(m); err != nil {
		log.Debug().Str("cause", err.Error()).Msg("answer_after_end")
	}
}

// offerOr offers a message, and logs one that finds no room.
func offerOr[T any](inbox *ring.Ring[T], m T, log zerolog.Logger) {
	if err := inbox.Offer(m); err != nil {
		log.Warn().Str("cause", err.Error()).Msg("message_dropped")
	}
}
