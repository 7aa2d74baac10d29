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

// memoryEngine is one engine in memory, which all duties of a test share.
// Orders that are held back land when the test says so.
type memoryEngine struct {
	checks bool
	state  order.State
	taken  []uint64
	hold   bool
	held   []func()
}

func (e *memoryEngine) State(_ string, done func(*order.State, error)) {
	s := e.state
	done(&s, nil)
}

func (e *memoryEngine) Order(_ string, fence uint64, w order.DesiredState, done func(*order.State, error)) {
	land := func() { e.take(fence, w, done) }
	if e.hold {
		e.held = append(e.held, land)
		return
	}
	land()
}

func (e *memoryEngine) take(fence uint64, w order.DesiredState, done func(*order.State, error)) {
	if e.checks && fence < e.state.LastFencing {
		done(nil, &order.StaleError{Fence: fence})
		return
	}
	e.taken = append(e.taken, fence)
	e.state = order.State{Adapters: w.Adapters, Role: w.Role, LastFencing: fence}
	for _, m := range w.Models {
		e.state.Models = append(e.state.Models, order.ModelState{Model: m, State: order.ModelLoaded})
	}
	s := e.state
	done(&s, nil)
}

// tenure is one orders duty with a grant of its own.
type tenure struct {
	duty *ordersDuty
	news ordersNews
}

func newTenure(clk clock.Clock, e *memoryEngine, version string, g grant) *tenure {
	duty := newOrdersDuty(&Settings{MaxLoading: 4}, zerolog.Nop(), e, clk)
	duty.fleet = ring.New[fleetEvent]("fleet", 4)
	duty.counters = newCounters(prometheus.NewRegistry())
	return &tenure{duty: duty, news: ordersNews{
		grant:     g,
		instances: []fleet.Instance{{ID: "i-1", Member: "m", Pool: "p", State: fleet.Live}},
		configuration: &intent.Configuration{Version: 1, Documents: []intent.Document{{
			Member: "m",
			Models: []intent.Model{{Name: "model", Version: version}},
			Pools:  []intent.Pool{{Name: "p", Kind: intent.Engine, Model: "model", FencingChecked: e.checks}},
		}}},
	}}
}

// step hands the news in and handles all answers.
func (t *tenure) step() {
	news := t.news
	t.duty.handle(ordersEvent{fleet: &news})
	t.drain()
}

func (t *tenure) drain() {
	for {
		e, ok, _ := t.duty.inbox.TakeUntil(0)
		if !ok {
			return
		}
		t.duty.handle(e)
	}
}

func (t *tenure) isServing() bool {
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
				first  *tenure
				grants func(fence uint64) grant
			)

			BeforeEach(func() {
				clk = &clock.Manual{}
				clk.Advance(time.Hour)
				engine = &memoryEngine{checks: checks}
				grants = func(fence uint64) grant {
					acquired := lease.Acquisition{Fence: fence, At: clk.Now(), First: fence == 1}
					return grant{fence: fence, until: clk.Now().Add(term), acquired: acquired}
				}
				first = newTenure(clk, engine, "1", grants(1))
			})

			It("orders once and reads the state back", func() {
				for range 5 {
					first.step()
					clk.Advance(time.Second)
				}
				Expect(first.isServing()).To(BeTrue())
				Expect(engine.taken).To(Equal([]uint64{1}))
			})

			It("gives no order once its lease is over, frozen or cut off from the table service", func() {
				clk.Advance(term)
				first.step()
				Expect(engine.taken).To(BeEmpty())
			})

			It("puts right what an order of the former holder does late", func() {
				// The order of the first holder is under way when its lease ends.
				engine.hold = true
				first.step()
				clk.Advance(time.Second)
				first.step()
				Expect(engine.held).To(HaveLen(1))
				clk.Advance(term)
				engine.hold = false
				second := newTenure(clk, engine, "2", grants(2))
				second.step()
				if !checks {
					Expect(engine.taken).To(BeEmpty(), "the new holder waits")
				}
				// The late order lands within the longest order.
				clk.Advance(longestOrder / 2)
				second.step()
				engine.held[0]()
				for range 20 {
					clk.Advance(time.Second)
					second.news.grant.until = clk.Now().Add(term)
					second.step()
				}
				Expect(second.isServing()).To(BeTrue())
				Expect(engine.state.Models).To(ConsistOf(HaveField("Version", "2")))
				Expect(engine.taken[len(engine.taken)-1]).To(BeEquivalentTo(2))
			})
		})
	}
})
