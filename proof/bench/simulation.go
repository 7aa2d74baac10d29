package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/hedge"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// gatewayCount is the number of gateways of a member.
const gatewayCount = 4

// simulation is one run of a variant.
type simulation struct {
	timeline
	member   Member
	scenario Scenario
	reports  reporting
	rand     *rand.Rand
	gateways []*gateway
	engines  map[string]*engine
	// ordered holds the engines in a fixed order.
	ordered []*engine
	models  map[string]string
	// computed holds each block that some engine has computed.
	computed map[uint64]bool
	result   *Result
	// busy sums the time of all steps, each by its machine's price an hour.
	busy   time.Duration
	nextID uint64
}

// Run measures a variant once.
func Run(m Member, s Scenario, v Variant, seed uint64) *Result {
	sim := &simulation{
		member:   m,
		scenario: s,
		reports:  s.reporting(),
		rand:     rand.New(rand.NewPCG(seed, 1)),
		engines:  make(map[string]*engine),
		models:   make(map[string]string),
		computed: make(map[uint64]bool),
		result:   newResult(m),
	}
	sim.addEngines()
	sim.addGateways(v, seed)
	sim.addReports()
	sim.addFaults()
	sim.addTraffic()
	sim.runUntil(clock.Instant(runTime + drainTime))
	sim.result.close(sim)
	return sim.result
}

func (s *simulation) addEngines() {
	for _, p := range s.member.Pools {
		s.models[p.Name] = p.Model
		for i, m := range p.Machines {
			r := route.Replica{
				ID:            fmt.Sprintf("%s-%d", p.Name, i),
				Pool:          p.Name,
				Model:         p.Model,
				FailureDomain: s.member.Domains[i%len(s.member.Domains)],
				MachineClass:  m.Class,
				MicrosPerHour: m.MicrosPerHour,
				Reclaimable:   m.Reclaimable,
				MaxConcurrent: m.Slots,
				State:         fleet.Live,
			}
			e := &engine{sim: s, replica: r, machine: m, cache: newBlockCache(m.CacheBlocks), slow: 1}
			s.engines[r.ID] = e
			s.ordered = append(s.ordered, e)
		}
	}
}

func (s *simulation) addGateways(v Variant, seed uint64) {
	for i := range gatewayCount {
		cfg := v.Route
		cfg.Rand = rand.New(rand.NewPCG(seed, uint64(i)+2))
		g := &gateway{sim: s, router: route.New(cfg), queue: admit.New(v.Admit), hedges: hedge.NewBudget(v.Hedge), jobs: make(map[uint64]*job)}
		g.queue.SetCustomers(s.member.Customers)
		for _, e := range s.ordered {
			g.router.Upsert(e.replica)
		}
		s.gateways = append(s.gateways, g)
		const tick = 20 * time.Millisecond
		s.every(tick, tick, clock.Instant(runTime+drainTime), g.pump)
	}
}

// reply runs a function at a gateway after the way back.
func (s *simulation) reply(run func()) {
	s.after(s.member.OneWay, run)
}

func (s *simulation) addReports() {
	for i, e := range s.ordered {
		first := s.reports.loadPeriod * time.Duration(i) / time.Duration(len(s.ordered))
		s.every(first, s.reports.loadPeriod, clock.Instant(runTime+drainTime), func() { s.reportLoad(e) })
	}
	s.every(warmUp, time.Second, clock.Instant(runTime), func() { s.result.sample(s.ordered) })
}

func (s *simulation) reportLoad(e *engine) {
	if e.dead {
		return
	}
	l := e.load(s.reports.loadPeriod)
	l.Age = s.reports.loadLag
	for _, g := range s.gateways {
		if s.rand.Float64() >= s.reports.loadLoss {
			s.after(s.reports.loadLag, func() { g.router.ReportLoad(e.replica.ID, l, s.now) })
		}
	}
}

func (s *simulation) publish(e *engine, kind route.CacheEventKind, blocks []uint64) {
	e.sequence++
	ev := route.CacheEvent{Sequence: e.sequence, Kind: kind, Blocks: blocks}
	for _, g := range s.gateways {
		if s.rand.Float64() >= s.reports.cacheLoss {
			s.after(s.reports.cacheLag, func() { g.router.ReportCache(e.replica.ID, s.now, ev) })
		}
	}
}

func (s *simulation) addFaults() {
	for _, e := range s.ordered {
		inDomain := e.replica.FailureDomain == s.member.Domains[0] && e.replica.Model != ""
		if s.scenario.FailDomain && inDomain {
			e.failing = true
		}
		if s.scenario.ReclaimDomain && inDomain {
			s.after(faultAt, func() { s.reclaim(e) })
		}
	}
	if s.scenario.HungReplica {
		s.after(faultAt, s.ordered[1].hang)
	}
	if s.scenario.SlowReplica {
		s.after(faultAt, func() { s.ordered[1].slow = slowFactor })
	}
}

// hang lets an engine take requests and never answer.
func (e *engine) hang() {
	e.stepping = true
	e.hung = true
}

func (s *simulation) reclaim(e *engine) {
	for _, g := range s.gateways {
		g.router.SetLeaving(e.replica.ID)
	}
	s.after(reclaimNotice, e.die)
}

func (s *simulation) addTraffic() {
	for i := range s.member.Classes {
		c := &s.member.Classes[i]
		for customer := range s.member.Customers {
			if rate := s.rate(c, customer); rate > 0 {
				s.arrivals(c, customer, rate)
			}
		}
	}
}

func (s *simulation) rate(c *Class, customer int) float64 {
	sum := 0.0
	for _, w := range s.member.Weights {
		sum += w
	}
	rate := c.PerSecond * s.scenario.Load * s.member.Weights[customer] / sum
	if s.scenario.LoudCustomer && customer == 2 {
		rate *= loudFactor
	}
	return rate
}

// arrivals are a Poisson process.
func (s *simulation) arrivals(c *Class, customer int, rate float64) {
	pause := func() time.Duration {
		return time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
	}
	var arrive func()
	arrive = func() {
		if !s.now.Before(clock.Instant(runTime)) {
			return
		}
		g := s.gateways[s.rand.IntN(gatewayCount)]
		j := s.newJob(c, customer)
		s.result.offered(j)
		g.arrive(j)
		s.after(pause(), arrive)
	}
	s.after(pause(), arrive)
}

func (s *simulation) newJob(c *Class, customer int) *job {
	s.nextID++
	j := &job{class: c, customer: customer}
	j.promptTokens = c.SharedTokens
	if c.OwnTokens > 0 {
		j.promptTokens += c.OwnTokens/2 + s.rand.IntN(c.OwnTokens)
	}
	j.answerTokens = c.MaxTokens
	if c.MaxTokens > 1 {
		j.answerTokens = c.MaxTokens/2 + s.rand.IntN(c.MaxTokens/2+1)
	}
	j.blocks = s.blocks(c, j.promptTokens)
	first, work := predict(c, j.promptTokens)
	j.entry = admit.Entry{
		ID: s.nextID, Customer: s.member.Customers[customer].Name, Pool: c.Pool, Priority: c.Priority,
		Arrived: s.now, FirstTokenBy: s.now.Add(c.Target), Deadline: s.now.Add(c.Deadline),
		PredictedFirstToken: first, PredictedWork: work,
	}
	return j
}

// blocks draws a group, low numbers more often, and names the blocks of its
// prefix and those of the request's own.
func (s *simulation) blocks(c *Class, tokens int) []uint64 {
	if c.Groups == 0 {
		return nil
	}
	u := s.rand.Float64()
	group := int(u * u * float64(c.Groups))
	source := rand.New(rand.NewPCG(uint64(group), uint64(len(c.Name))<<8|uint64(c.Name[0])))
	blocks := make([]uint64, tokens/prefix.BlockTokens)
	for i := range blocks {
		if i < c.SharedTokens/prefix.BlockTokens {
			blocks[i] = source.Uint64()
		} else {
			blocks[i] = s.rand.Uint64()
		}
	}
	return blocks
}

// countRecomputed counts the prompt tokens that some engine computed before.
func (s *simulation) countRecomputed(a *attempt, cached int) {
	again := 0
	for i, b := range a.job.blocks {
		if i >= cached && s.computed[b] {
			again++
		}
		s.computed[b] = true
	}
	s.result.addRecomputed(a.job, again*prefix.BlockTokens)
}
