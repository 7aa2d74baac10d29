package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/dump"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

const (
	// gatewayTable holds the record of each gateway.
	gatewayTable = "gateways"
	// leaseTable holds the lease of the singleton duties.
	leaseTable = "leases"
	// usageTable holds the counts of each usage window as they are reported.
	usageTable = "usage"
	// leaseName names the lease of all singleton duties.
	leaseName = "duties"
	// minHeartbeatInterval is the least time between two writes of this gateway's
	// record.
	minHeartbeatInterval = time.Second
	// heartbeatPerGateway is the heartbeat interval per gateway in the cluster. It
	// bounds the rate of writes of all gateways together.
	heartbeatPerGateway = 6 * time.Millisecond
	// maxHeartbeatInterval is the longest time between two writes.
	maxHeartbeatInterval = 1800 * time.Millisecond
	// urgentHeartbeatInterval is the least time between two writes if there is news that
	// the other gateways should get at once.
	urgentHeartbeatInterval = 300 * time.Millisecond
	// minRestartHeartbeat and restartHeartbeatPerGateway bound the rate of writes if more of
	// customers' limits is used than the store would tell after a restart.
	minRestartHeartbeat        = 200 * time.Millisecond
	restartHeartbeatPerGateway = 5 * time.Millisecond
	// restartReserveShare is the part of what a record reserves for a restart from which
	// the next one is written.
	restartReserveShare = 0.8
	// peerHeartbeatInterval is the time between two writes while other gateways get
	// this gateway's record by the exchange of news.
	peerHeartbeatInterval = 2 * time.Second
	// hubListInterval and peerListInterval are the times between two reads of all
	// records from the store, by a hub and by a gateway that gets the news of one.
	hubListInterval  = 2 * time.Second
	peerListInterval = 10 * time.Second
	// maxNewsSilence is the time without news of a hub after which a gateway reads the
	// records itself.
	maxNewsSilence = 2 * time.Second
	// maxClockError is how far a hub's estimate of the store's clock may be ahead of
	// this gateway's. Beyond that the process was suspended, and takes it over.
	maxClockError = 200 * time.Millisecond
	// liveHeartbeats is the number of heartbeat intervals after which a gateway whose
	// record has not changed is left out of the directory.
	liveHeartbeats = 2.3
	// maxLiveTimeout bounds that time. A gateway that has died stays in the directory
	// for at most this time and one heartbeat interval.
	maxLiveTimeout = 3600 * time.Millisecond
	// shareTimeout is how long a gateway keeps its part of the customers' limits
	// after the last change of its record.
	shareTimeout = 8 * time.Second
	// formerUseTime is the time for which what a former process of this gateway has
	// published bounds its use of limits: beyond that it has ended, or has been cut off
	// for so long that the others expect no more of it.
	formerUseTime = 20 * time.Second
	// leaseCandidates is the number of gateways that compete for the lease.
	leaseCandidates = 3
	// deadRecordTimeout is how long the record of a dead gateway is kept.
	deadRecordTimeout = time.Minute
	// usageSettleTime is the time after the end of a usage window by which all
	// gateways have published their counts for it.
	usageSettleTime = 4500 * time.Millisecond
	// countsDelay is the time after which a count is in the record of its gateway.
	countsDelay = 2 * statsInterval
	// reportRetryDelay is the delay after a failed usage report.
	reportRetryDelay = 500 * time.Millisecond
)

// coordinator is the cluster duty. It publishes this gateway's record in the store
// and reads those of the others. While it holds the lease, it also carries out the
// singleton duties: usage reports, orders of upstreams and the removal of records
// of dead gateways.
type coordinator struct {
	inbox     *ring.Ring[clusterMessage]
	dispatch  *ring.Ring[dispatchMessage]
	directory *ring.Ring[directoryMessage]
	peers     *ring.Ring[peerMessage]
	watch     *ring.Ring[watchMessage]
	drain     *ring.Ring[drainMessage]
	store     *rows.Client
	leases    *rows.Table
	cloud     *cloud.Client
	clock     clock.Clock
	log       zerolog.Logger

	usageReports

	containment containment
	metrics     *metrics
	record      cluster.Record
	records     *exchange.RecordLog
	view        *cluster.View
	hubs        []string      // names, as last sent to the peers duty
	newsAt      clock.Instant // of the last news of a hub
	listAt      clock.Instant // when the records are next read from the store
	// spent are the totals of what dispatch has used of the limits that it holds, at
	// spentAt. storedSpent, storedCountedAt and stored are those of the record that was
	// last written to the store, and its reserves.
	spent, storedSpent       map[string]float64
	spentAt, storedCountedAt clock.Instant
	stored                   map[string]limit.Reserve
	// rolloutOrders are the roll-outs in force, by service, and rollouts what is known of
	// their stored stages while this gateway holds the lease.
	rolloutOrders  map[string]rollout.Order
	rollouts       map[string]*storedRollout
	rolloutPlanner rollout.Planner
	rolloutsAt     clock.Instant
	timelineAge    timelineAge
	tally          *usage.Tally
	planner        *scale.Planner
	readRates      map[string]float64 // of one engine of each service, in tokens per second
	fleet          setFleet
	// drainingAt holds when upstreams have told this gateway that they are leaving, and
	// drainingPassed those of other gateways that the watch duty has been told of.
	drainingAt      map[roster.Incarnation]clock.Instant
	drainingPassed  map[roster.Incarnation]bool
	plannedAt       clock.Instant
	ordersUpstreams bool

	lease            *lease.Lease
	leaseStepAt      clock.Instant // when the next lease step is due; 0 during a call
	holdsLease       bool
	refusedFence     uint64 // fencing number that the cloud API last refused as too low
	heartbeatAt      clock.Instant
	lastHeartbeat    clock.Instant
	heartbeatActive  bool // a write or read of records is in progress
	hasRead          bool // the records have been read at least once
	isStale          bool // the others may have taken over this gateway's part of limits
	isUnavailable    bool // the last call to the store for records failed
	isLeaving        bool
	storeClock       time.Duration // the store's clock at the last read
	storeClockReadAt clock.Instant // the monotonic clock at the last read
}

func (c *coordinator) run() error {
	now := c.clock.Now()
	c.heartbeatAt = now
	c.runLeaseStep(c.lease.Next(now))
	for {
		now = c.clock.Now()
		m, ok, err := c.inbox.TakeUntil(c.timeout(now))
		if err != nil {
			return nil
		}
		now = c.clock.Now()
		// The message may be of a new timeline.
		c.observeTimeline(c.store.Timeline(), now)
		if ok {
			c.containment.run(m, now, func() { c.handle(m, now) })
		}
		c.tick(now)
	}
}

// timeout returns the time until the next heartbeat, lease step or report is due.
func (c *coordinator) timeout(now clock.Instant) time.Duration {
	wait := c.heartbeatInterval()
	if !c.heartbeatActive {
		wait = min(wait, c.heartbeatAt.Sub(now))
	}
	if c.leaseStepAt != 0 {
		wait = min(wait, c.leaseStepAt.Sub(now))
	}
	if c.holdsLease && !c.reporting {
		wait = min(wait, max(c.reportAt.Sub(now), reportRetryDelay))
	}
	if c.holdsLease && len(c.rolloutOrders) > 0 {
		wait = min(wait, rolloutInterval)
	}
	return max(wait, 0)
}

func (c *coordinator) tick(now clock.Instant) {
	if !c.heartbeatActive && !now.Before(c.heartbeatAt) {
		c.heartbeat(now)
	}
	if c.leaseStepAt != 0 && !now.Before(c.leaseStepAt) {
		c.nextLeaseStep(now)
	}
	if c.hasRead && !c.isStale && c.view.IsStale(now) {
		c.publish(now)
	}
	c.checkLease(now)
	if c.holdsLease && !c.reporting && !now.Before(c.reportAt) {
		c.reportNextWindow(now)
	}
	if c.holdsLease {
		c.orderUpstreams(now)
		c.planRollouts(now)
	}
}

func (c *coordinator) handle(m clusterMessage, now clock.Instant) {
	switch m := m.(type) {
	case requestStats:
		for window, counts := range m.counts {
			c.tally.Add(window, counts)
		}
		c.record.Used, c.record.Reserves, c.record.CountedAt = m.used, m.reserves, c.storeNow(m.countedAt)
		c.record.Rollouts, c.record.RolloutEvidence = m.rollouts, m.rolloutEvidence
		c.record.Loads = m.loads
		if c.hasRead {
			c.record.Evidence = shiftEvidence(m.evidence, c.storeNow(now)-time.Duration(now))
		}
		c.shareRecord(m.isUrgent, now)
		if m.isUrgent {
			c.hurryHeartbeat(urgentHeartbeatInterval, now)
		}
		c.spent, c.spentAt = m.spent, m.countedAt
		if c.exceedsRestartReserve() {
			c.hurryHeartbeat(c.restartHeartbeatInterval(), now)
		}
		c.readRates = m.readRates
		if m.hasEnded && !c.record.Ended {
			c.publishEnd(now)
		}
	case recordsRead:
		c.handleRecordsRead(m, now)
	case recordsKnown:
		c.handleRecordsKnown(m, now)
	case recordWritten:
		c.handleRecordWritten(m, now)
	case leaseRead:
		c.handleLeaseRead(m, now)
	case leaseWritten:
		c.runLeaseStep(c.lease.Written(m.err, now))
	case countsStored:
		c.handleCountsStored(m)
	case countsRead:
		c.handleCountsRead(m, now)
	case timelineStored:
		c.handleTimelineStored(m, now)
	case timelineRead:
		c.handleTimelineRead(m, now)
	case usageReported:
		c.handleUsageReported(m, now)
	case gatewaysWanted:
		c.hurryHeartbeat(urgentHeartbeatInterval, now)
		if c.hasRead {
			c.publishGateways()
		}
	case setRollouts:
		c.rolloutOrders = m.orders
	case rolloutRead:
		c.handleRolloutRead(m)
	case rolloutWritten:
		c.handleRolloutWritten(m, now)
	case upstreamsDraining:
		c.handleDraining(m.incarnations, now)
	case upstreamsOrdered:
		c.handleUpstreamsOrdered(m, now)
	case setFleet:
		c.fleet = m
		if m.catalog != nil {
			c.record.Config = m.catalog.Version
		}
	case setReady:
		c.record.Ready = !c.isLeaving
		c.heartbeatAt = now
		c.shareRecord(true, now)
	case leaveCluster:
		c.leave(now)
	case dumpCluster:
		_ = m.reply.Offer(report.Section{Name: "cluster", State: c.dump(now)})
	}
}

func (c *coordinator) dump(now clock.Instant) dump.Cluster {
	return dump.Cluster{
		Live:     c.view.Live(),
		Gateways: c.view.Peers(now),
		Ready:    c.record.Ready,
		Holds:    c.holdsLease,
		Fence:    c.lease.LastKnown().Fence,
		Barred:   c.refusedFence,
		Reported: c.lastReported,
	}
}

// publishEnd publishes that this process uses nothing of limits any more, so that the others
// hold nothing back for it.
func (c *coordinator) publishEnd(now clock.Instant) {
	c.record.Ended = true
	if !c.hasRead {
		// The store has no record of this process.
		offerOrLog(c.drain, drainMessage{endPublished: true}, c.log)
		return
	}
	c.heartbeatAt = now
	c.shareRecord(true, now)
}

// leave publishes that this gateway is not ready any more and releases the lease.
func (c *coordinator) leave(now clock.Instant) {
	c.isLeaving = true
	c.record.Ready = false
	c.heartbeatAt = now
	c.shareRecord(true, now)
	c.runLeaseStep(c.lease.Release(now))
}
