package controller

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/order"
)

// memoryEngine is an in-memory engine that all duties of a test share. While
// holdOrders is set, orders wait in heldOrders until the test applies them. While
// holdReads is set, the results of reads wait in heldReads.
type memoryEngine struct {
	checksFencing  bool
	state          order.State
	acceptedFences []uint64
	holdOrders     bool
	heldOrders     []func()
	holdReads      bool
	heldReads      []func()
}

func (e *memoryEngine) State(_ string, done func(*order.State, error)) {
	s := e.state
	if e.holdReads {
		e.heldReads = append(e.heldReads, func() { done(&s, nil) })
		return
	}
	done(&s, nil)
}

func (e *memoryEngine) Order(_ string, fence uint64, desired order.DesiredState, done func(*order.State, error)) {
	apply := func() { e.apply(fence, desired, done) }
	if e.holdOrders {
		e.heldOrders = append(e.heldOrders, apply)
		return
	}
	apply()
}

func (e *memoryEngine) apply(fence uint64, desired order.DesiredState, done func(*order.State, error)) {
	if e.checksFencing && fence < e.state.LastFencing {
		done(nil, &order.StaleError{Fence: fence})
		return
	}
	e.acceptedFences = append(e.acceptedFences, fence)
	e.state = order.State{Adapters: desired.Adapters, Role: desired.Role, LastFencing: fence}
	for _, m := range desired.Models {
		e.state.Models = append(e.state.Models, order.ModelState{Model: m, State: order.ModelLoaded})
	}
	s := e.state
	done(&s, nil)
}

// ordersFixture is an orders duty and the snapshot that step passes to it.
type ordersFixture struct {
	duty     *ordersDuty
	snapshot ordersSnapshot
}

func newOrdersFixture(clk clock.Clock, e *memoryEngine, version string, g grant) *ordersFixture {
	duty := newOrdersDuty(&Settings{MaxLoading: 4}, zerolog.Nop(), e, clk)
	duty.fleet = ring.New[fleetEvent]("fleet", 4)
	duty.counters = newCounters(prometheus.NewRegistry())
	return &ordersFixture{duty: duty, snapshot: ordersSnapshot{
		grant:     g,
		instances: []fleet.Instance{{ID: "i-1", Member: "m", Pool: "p", State: fleet.Live}},
		configuration: &intent.Configuration{Version: 1, Documents: []intent.Document{{
			Member: "m",
			Models: []intent.Model{{Name: "model", Version: version}},
			Pools:  []intent.Pool{{Name: "p", Kind: intent.Engine, Model: "model", FencingChecked: e.checksFencing}},
		}}},
	}}
}

// step passes the snapshot to the duty and handles all results.
func (t *ordersFixture) step() {
	snapshot := t.snapshot
	t.duty.handle(ordersEvent{snapshot: &snapshot})
	t.drain()
}

func (t *ordersFixture) drain() {
	for {
		e, ok, _ := t.duty.inbox.TakeUntil(0)
		if !ok {
			return
		}
		t.duty.handle(e)
	}
}

func (t *ordersFixture) isServing() bool {
	return t.duty.engines["i-1"].IsServing()
}

var _ = Describe("Orders duty", func() {
	const term = 10 * time.Second
	for _, checks := range []bool{true, false} {
		kind := "that ignore fencing numbers"
		if checks {
			kind = "that check fencing numbers"
		}
		Context("with engines "+kind, func() {
			var (
				clk    *clock.Manual
				engine *memoryEngine
				first  *ordersFixture
				grants func(fence uint64) grant
			)

			BeforeEach(func() {
				clk = &clock.Manual{}
				clk.Advance(time.Hour)
				engine = &memoryEngine{checksFencing: checks}
				grants = func(fence uint64) grant {
					acquired := lease.Acquisition{Fence: fence, At: clk.Now(), First: fence == 1}
					return grant{fence: fence, expiresAt: clk.Now().Add(term), acquired: acquired}
				}
				first = newOrdersFixture(clk, engine, "1", grants(1))
			})

			It("orders once and reads the state back", func() {
				for range 5 {
					first.step()
					clk.Advance(time.Second)
				}
				Expect(first.isServing()).To(BeTrue())
				Expect(engine.acceptedFences).To(Equal([]uint64{1}))
			})

			It("sends no order after its lease has expired, as when it was frozen or cut off from the table service", func() {
				clk.Advance(term)
				first.step()
				Expect(engine.acceptedFences).To(BeEmpty())
			})

			It("reverts the effect of a late order by the previous holder", func() {
				// The order of the first holder is in flight when its lease expires.
				engine.holdOrders = true
				first.step()
				clk.Advance(time.Second)
				first.step()
				Expect(engine.heldOrders).To(HaveLen(1))
				clk.Advance(term)
				engine.holdOrders = false
				second := newOrdersFixture(clk, engine, "2", grants(2))
				second.step()
				if !checks {
					Expect(engine.acceptedFences).To(BeEmpty(), "the new holder waits")
				}
				// The late order takes effect within maxOrderDuration.
				clk.Advance(maxOrderDuration / 2)
				second.step()
				engine.heldOrders[0]()
				for range 20 {
					clk.Advance(time.Second)
					second.snapshot.grant.expiresAt = clk.Now().Add(term)
					second.step()
				}
				Expect(second.isServing()).To(BeTrue())
				Expect(engine.state.Models).To(ConsistOf(HaveField("Version", "2")))
				Expect(engine.acceptedFences[len(engine.acceptedFences)-1]).To(BeEquivalentTo(2))
			})

			// Guards against an engine that keeps a wrong state since what it reported before
			// the lease was lost counts as the read that a new tenure begins with.
			It("does not take a read from before its tenure for one of it", func() {
				first.step()
				clk.Advance(time.Second)
				first.step()
				Expect(first.isServing()).To(BeTrue())
				engine.holdReads = true
				clk.Advance(time.Minute)
				first.snapshot.grant = grants(1)
				first.step()
				Expect(engine.heldReads).To(HaveLen(1))
				engine.holdReads = false
				// Another controller holds the lease for a while, and gives another order.
				second := newOrdersFixture(clk, engine, "2", grants(2))
				second.step()
				clk.Advance(maxOrderDuration)
				second.step()
				Expect(engine.state.Models).To(ConsistOf(HaveField("Version", "2")))
				first.snapshot.grant = grants(3)
				first.step()
				engine.heldReads[0]()
				first.drain()
				Expect(first.duty.engines["i-1"].State.Models).To(Equal(engine.state.Models))
				clk.Advance(maxOrderDuration)
				first.step()
				Expect(engine.state.Models).To(ConsistOf(HaveField("Version", "1")))
			})

			// Guards against an engine that gets a second call while one is in progress since
			// the result of an earlier one, from before it was missing, counts for it.
			It("does not take a result for an engine that was missing meanwhile", func() {
				engine.holdReads = true
				first.step()
				instances := first.snapshot.instances
				first.snapshot.instances = nil
				first.step()
				first.snapshot.instances = instances
				first.step()
				Expect(engine.heldReads).To(HaveLen(2))
				engine.heldReads[0]()
				first.drain()
				Expect(first.duty.engines["i-1"].Busy).To(BeTrue())
				engine.heldReads[1]()
				first.drain()
				Expect(first.duty.engines["i-1"].State).NotTo(BeNil())
			})
		})
	}
})
