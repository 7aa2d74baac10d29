package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
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
	// heartbeatEvery is the time between two writes of the own row.
	heartbeatEvery = time.Second
	// silenceLimit is how long a row may stay as it is until callers are not told
	// of its gateway any more.
	silenceLimit = 2300 * time.Millisecond
	// holdLimit is how long a gateway keeps its part of the customers' limits
	// without a change of its row.
	holdLimit = 8 * time.Second
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

	card     cluster.Card
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
	wait := heartbeatEvery
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
		c.step(c.lease.Next(now))
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

// beat writes the own row, then reads all. The first time it only reads, since
// the row may hold counts of this instance's former process.
func (c *clusterer) beat(now clock.Instant) {
	c.beating = true
	c.beatAt = now.Add(heartbeatEvery)
	if !c.readOnce {
		c.readCards()
		return
	}
	c.card.Sequence++
	c.card.Windows = windowsOf(c.tally)
	value, err := c.card.Encode()
	if err != nil {
		c.log.Error().Str("cause", err.Error()).Msg("card_not_encoded")
		c.beating = false
		return
	}
	put := rows.Put{Table: cardTable, Key: row.Key{Sort: c.card.Instance}, Value: value}
	c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
		offerOr(c.inbox, clusterMessage(cardWritten{err: err}), c.log)
	})
}

func windowsOf(t *usage.Tally) map[int64]map[string]uint64 {
	out := make(map[int64]map[string]uint64, len(t.Windows()))
	for window, counts := range t.Windows() {
		out[window] = counts
	}
	return out
}

func (c *clusterer) written(m cardWritten, now clock.Instant) {
	if m.err != nil {
		c.away(m.err)
		c.beating = false
		return
	}
	c.readCards()
}

func (c *clusterer) readCards() {
	c.store.List(cardTable, "", func(p rows.Page, err error) {
		offerOr(c.inbox, clusterMessage(cardsRead{page: p, err: err}), c.log)
	})
}

func (c *clusterer) read(m cardsRead, now clock.Instant) {
	c.beating = false
	if m.err != nil {
		c.away(m.err)
		return
	}
	c.back()
	cards := make([]cluster.Card, 0, len(m.page.Rows))
	for _, r := range m.page.Rows {
		card, err := cluster.Decode(r.Key.Sort, r.Value)
		if err != nil {
			c.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		cards = append(cards, card)
	}
	c.view.Read(cards, now)
	if !c.readOnce {
		c.readOnce = true
		c.inherit()
		c.beatAt = now
	}
	c.card.Offset = time.Duration(time.Now().UnixNano()) - m.page.Clock
	c.storeAt, c.steadyAt = m.page.Clock, now
	c.tally.Trim(c.trueTime(now))
	c.share()
	c.removeDead()
}

// inherit takes over what this instance's former process has counted.
func (c *clusterer) inherit() {
	former, ok := c.view.Card(c.card.Instance)
	if !ok {
		return
	}
	for window, counts := range former.Windows {
		c.tally.Add(window, counts)
	}
	c.log.Info().Uint64("incarnation", former.Incarnation).Int("windows", len(former.Windows)).Msg("counts_inherited")
}

// share tells the other duties what follows from the rows.
func (c *clusterer) share() {
	ready := c.view.Ready()
	addresses := make([]string, 0, len(ready))
	for _, card := range ready {
		addresses = append(addresses, card.Address)
	}
	if len(addresses) > 0 {
		offerOr(c.directory, directoryMessage{addresses: addresses}, c.log)
	}
	news := setShares{gateways: max(len(c.view.Holders()), 1), shares: c.view.Shares(c.card.Instance)}
	for _, card := range ready {
		if card.Instance != c.card.Instance {
			news.others++
		}
	}
	offerOr(c.dispatch, dispatchMessage(news), c.log)
	offerOr(c.dispatch, dispatchMessage(setClock{ahead: c.ahead()}), c.log)
}

// ahead is how far true time is ahead of the steady clock.
func (c *clusterer) ahead() time.Duration {
	offset, ok := c.view.Offset()
	if !ok {
		offset = c.card.Offset
	}
	return offset + c.storeAt - time.Duration(c.steadyAt)
}

func (c *clusterer) trueTime(now clock.Instant) time.Duration {
	return time.Duration(now) + c.ahead()
}

// removeDead removes rows of gateways that are long gone.
func (c *clusterer) removeDead() {
	if !c.holds {
		return
	}
	for _, name := range c.view.Silent(removeAfter) {
		put := rows.Put{Table: cardTable, Key: row.Key{Sort: name}, Delete: true}
		c.log.Info().Str("instance", name).Msg("row_removed")
		c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
			if err != nil {
				c.log.Warn().Str("instance", name).Str("cause", err.Error()).Msg("row_not_removed")
			}
		})
	}
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

// offerOr offers a message, and logs one that finds no room.
func offerOr[T any](inbox *ring.Ring[T], m T, log zerolog.Logger) {
	if err := inbox.Offer(m); err != nil {
		log.Warn().Str("cause", err.Error()).Msg("message_dropped")
	}
}
