package entry

import (
	"encoding/json"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

const (
	rolledVersion, formerVersion = "v2", "v1"
	// formerOrder is the row of an order before rolloutOrder.
	formerOrder = `{"service":"llm","to":"v1","duration_s":40}`
	// bedStep is the time between two steps of a rolloutBed.
	bedStep = 500 * time.Millisecond
)

// rolloutGateway is the part of one gateway in roll-outs. Its duties are run in turn.
type rolloutGateway struct {
	watch    *watch
	holder   *coordinator
	dispatch *ring.Ring[dispatchMessage]
	tracker  *rollout.Tracker
	// lease is the row of the lease, of which the gateway is the only candidate.
	lease row.Row
}

// rolloutBed is a store and gateways that follow it, on a clock of their own.
type rolloutBed struct {
	store    *rowstore.Store
	gateways []*rolloutGateway
	now      clock.Instant
	// failing is the number of requests that have failed with the new version.
	failing uint64
	// lateSteps is the number of steps in which the holder gets no records of the others.
	lateSteps int
}

func newRolloutBed() *rolloutBed {
	b := &rolloutBed{store: rowstore.New("127.0.0.1:0"), now: clock.Instant(time.Hour)}
	Expect(b.store.Open()).To(Succeed())
	b.store.SetEra(1)
	hosttest.Start(b.store)
	return b
}

// do runs f on the thread of the store, and waits for it.
func (b *rolloutBed) do(f func()) {
	done := ring.New[bool]("done", 1)
	Expect(b.store.Post(func() {
		f()
		_ = done.Offer(true)
	})).To(Succeed())
	_, err := done.Take()
	Expect(err).NotTo(HaveOccurred())
}

// order writes an order, so that its row has a version.
func (b *rolloutBed) order(version uint64, value string) {
	b.do(func() {
		for last := uint64(0); last+1 < version; last = b.store.Rows("filler")[0].Version {
			b.store.Put("filler", "f", nil)
		}
		b.store.Put(served.ConfigTable, served.RolloutPrefix+rolledService, []byte(value))
	})
}

// copied returns when the store is copied.
func (b *rolloutBed) copied() (at clock.Instant) {
	b.do(func() { at = b.store.Now() })
	return at
}

// restore restores the store from a copy. Nothing is written again by itself.
func (b *rolloutBed) restore(at clock.Instant) {
	b.do(func() { b.store.Restore(at, time.Hour) })
}

// start starts a gateway that knows nothing.
func (b *rolloutBed) start(name string) *rolloutGateway {
	client := rows.New(b.store.Address(), 2*time.Second, hosttest.StartClient())
	c := &coordinator{
		inbox: ring.New[clusterMessage]("cluster", 64), dispatch: ring.New[dispatchMessage]("dispatch", 256),
		peers: ring.New[peerMessage]("peers", 4096), watch: ring.New[watchMessage]("news", 16), store: client, log: zerolog.Nop(), clock: clock.System{},
		record: cluster.Record{Instance: name, Incarnation: 1}, records: exchange.NewRecordLog(), tally: usage.NewTally(5 * time.Second),
		view: cluster.NewView(time.Hour, time.Hour), rolloutPlanner: rollout.Planner{Exposure: defaultExposure},
		lease: lease.New(leaseName, lease.DefaultConfig(), lease.Holder{Instance: name, Incarnation: 1}),
		// The records of others come before anything else.
		hasRead: true, storeClock: time.Hour, storeClockReadAt: clock.Instant(time.Hour),
	}
	w := newWatch("g")
	w.metrics = newMetrics(prometheus.NewRegistry())
	w.store, w.inbox, w.dispatch, w.cluster, w.peers = client, ring.New[watchMessage]("watch", 16), c.dispatch, c.inbox, c.peers
	w.log, w.clock, w.propagationLimit = zerolog.Nop(), c.clock, 2*time.Second
	c.fleet.catalog = catalog.New(1, nil, []*catalog.Service{{Name: rolledService}}, nil, catalog.Limits{})
	for _, version := range []string{formerVersion, rolledVersion} {
		c.fleet.upstreams = append(c.fleet.upstreams, &catalog.Upstream{ID: version, Service: rolledService, Slots: 10, Version: version})
	}
	g := &rolloutGateway{watch: w, holder: c, dispatch: c.dispatch, tracker: rollout.NewTracker()}
	b.gateways = append(b.gateways, g)
	return g
}

// step lets all gateways follow the store and each other, and one hold the duties.
func (b *rolloutBed) step(holder *rolloutGateway) {
	b.now = b.now.Add(bedStep)
	var records []cluster.Record
	for _, g := range b.gateways {
		g.follow(b.now)
		g.hear(b.now)
		r := g.holder.record
		r.Rollouts = g.tracker.Stages()
		records = append(records, r)
	}
	for _, g := range b.gateways {
		g.holder.record.Rollouts = g.tracker.Stages()
		if g == holder && b.lateSteps > 0 {
			b.lateSteps--
			continue
		}
		g.holder.view.Update(records, b.now)
		stages, evidence := g.holder.view.Rollouts(g.holder.record.Instance)
		for _, s := range stages {
			g.tracker.SetStage(s)
		}
		g.tracker.SetOthers(evidence)
	}
	holder.hold(b.now)
	holder.holder.record.RolloutEvidence = nil
	for _, o := range holder.holder.rolloutOrders {
		e := rollout.Evidence{Service: o.Service, Revision: o.Revision}
		e.Old = map[string]rollout.Outcomes{"a": {Ended: 400}}
		e.New = map[string]rollout.Outcomes{"a": {Ended: 100, Failed: b.failing}}
		holder.holder.record.RolloutEvidence = append(holder.holder.record.RolloutEvidence, e)
	}
	holder.holder.publishRollouts(b.now)
	holder.holder.planRollouts(b.now)
	holder.finish(b.now)
	holder.hear(b.now)
}

// follow reads the table of the orders.
func (g *rolloutGateway) follow(now clock.Instant) {
	t := g.watch.tables[served.ConfigTable]
	t.needsList, t.nextCallAt = true, now
	g.watch.startCall(t, now)
	m, err := g.watch.inbox.Take()
	Expect(err).NotTo(HaveOccurred())
	g.watch.handle(m, now)
	g.watch.publish(now)
	g.finish(now)
}

// hear carries out what the other duties have told dispatch.
func (g *rolloutGateway) hear(clock.Instant) {
	for {
		m, ok, err := g.dispatch.TakeUntil(0)
		Expect(err).NotTo(HaveOccurred())
		if !ok {
			return
		}
		switch m := m.(type) {
		case setRollouts:
			g.tracker.SetOrders(m.orders)
		case hearRollouts:
			for _, s := range m.stages {
				g.tracker.SetStage(s)
			}
		}
	}
}

// hold keeps the lease of the duties.
func (g *rolloutGateway) hold(now clock.Instant) {
	c := g.holder
	c.holdsLease = true
	if c.rollouts == nil {
		c.rollouts = make(map[string]*storedRollout)
	}
	step := c.lease.Next(now)
	for range 4 {
		switch s := step.(type) {
		case lease.Read:
			step = c.lease.ReadResult(g.lease, nil, now)
		case lease.Write:
			g.lease = row.Row{Key: s.Transaction.Changes[0].Key, Version: g.lease.Version + 1, Value: s.Transaction.Changes[0].Value}
			step = c.lease.Written(nil, now)
		}
	}
	Expect(c.lease.IsHeld(now)).To(BeTrue())
}

// finish carries out the results of calls of the cluster duty.
func (g *rolloutGateway) finish(now clock.Instant) {
	wait := func() time.Duration {
		for _, stored := range g.holder.rollouts {
			if stored.isBusy {
				return 2 * time.Second
			}
		}
		return 0
	}
	for {
		m, ok, err := g.holder.inbox.TakeUntil(wait())
		Expect(err).NotTo(HaveOccurred())
		if !ok {
			return
		}
		g.holder.handle(m, now)
	}
}

// sends returns the share of requests that a gateway sends to the new version.
func (g *rolloutGateway) sends() float64 {
	n := 0
	for hash := range uint64(100) {
		if g.tracker.Filter(rolledService, hash<<16/100).Allows(rolledVersion) {
			n++
		}
	}
	return float64(n) / 100
}

// status returns the state of the roll-out that the operator reads; "" without one.
func (b *rolloutBed) status() (state string) {
	b.do(func() {
		for _, r := range b.store.Rows(served.StatusTable) {
			var s struct {
				State string `json:"state"`
			}
			Expect(json.Unmarshal(r.Value, &s)).To(Succeed())
			state = s.State
		}
	})
	return state
}
