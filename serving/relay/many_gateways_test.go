package relay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// Parameters of the simulation of a large cluster. Limits count tokens.
const (
	clusterStep      = 100 * time.Millisecond
	clusterHeartbeat = 1000 * time.Millisecond
	// clusterUrgentHeartbeat is the least time between two heartbeats.
	clusterUrgentHeartbeat = 200 * time.Millisecond
	// tellSteps is the number of steps between two messages of holders of limits.
	tellSteps      = 3
	clusterWindow  = 8 * time.Second
	clusterOverage = 0.1
	clusterSlack   = 110_000.0
	// requestTokens is the mean cost of a request; single ones cost 0.2 to 3 times
	// as much.
	requestTokens = 6000.0
)

// simulatedCustomer is a customer whose callers use all gateways at random.
type simulatedCustomer struct {
	name string
	rate float64 // of its limit, in tokens per second
	// offered returns its demand in tokens per second some time after the start.
	offered func(after time.Duration) float64
	// gateways returns the number of gateways that its callers use some time after the
	// start; nil for all.
	gateways func(after time.Duration) int

	asked, refused int
	total          float64 // used since the start
	used           []tokenUse
	// mostUsed is the most that it used in a window.
	mostUsed float64
}

// tokenUse is the cost of an admitted request.
type tokenUse struct {
	at     clock.Instant
	amount float64
}

// use counts an admitted request.
func (c *simulatedCustomer) use(amount float64, now clock.Instant) {
	c.total += amount
	c.used = append(c.used, tokenUse{now, amount})
	for now.Sub(c.used[0].at) >= clusterWindow {
		c.used = c.used[1:]
	}
	sum := 0.0
	for _, u := range c.used {
		sum += u.amount
	}
	c.mostUsed = max(c.mostUsed, sum)
}

// allowed is the most that the customer may use in a window, all tolerances
// included.
func (c *simulatedCustomer) allowed() float64 {
	return (c.rate*clusterWindow.Seconds()+c.rate)*(1+clusterOverage) + clusterSlack
}

// simulatedCluster is many gateways that share the customers' limits through their
// records.
type simulatedCluster struct {
	random    *rand.Rand
	now       clock.Instant
	start     clock.Instant
	gateways  []*gateway
	byName    map[string]*gateway
	rows      map[string]cluster.Record
	customers []*simulatedCustomer
	requests  uint64
	steps     int
	// lossRate is the part of answers between gateways that are lost.
	lossRate float64
}

func newSimulatedCluster(gateways int, customers []*simulatedCustomer) *simulatedCluster {
	s := &simulatedCluster{
		random: rand.New(rand.NewPCG(7, uint64(gateways))), now: clock.Instant(time.Hour), start: clock.Instant(time.Hour),
		byName: make(map[string]*gateway), rows: make(map[string]cluster.Record), customers: customers,
	}
	for i := range gateways {
		g := &gateway{name: fmt.Sprintf("gateway-%d", i)}
		s.startGateway(g)
		// Heartbeats are spread over the interval.
		g.nextHeartbeat = s.now.Add(time.Duration(s.random.Int64N(int64(clusterHeartbeat))))
		s.gateways = append(s.gateways, g)
		s.byName[g.name] = g
	}
	return s
}

// startGateway starts a process without any state of an earlier one.
func (s *simulatedCluster) startGateway(g *gateway) {
	var list []*catalog.Customer
	for _, c := range s.customers {
		list = append(list, &catalog.Customer{Name: c.name, Credentials: []string{c.name}, Rate: c.rate, Burst: c.rate, CountsTokens: true})
	}
	g.core = relay.New(relay.Config{LimitOverage: clusterOverage, LimitSlack: clusterSlack, LimitWindow: clusterWindow, GatewayCountUnknown: true})
	g.core.Configure(catalog.New(1, []*catalog.Route{{
		Name: "r", Host: "h", Prefix: "/r/", Kind: catalog.Stream, MaxAttempts: 1, Timeout: time.Minute,
		Services: []catalog.WeightedService{{Service: "s", Weight: 1}},
	}}, nil, list, catalog.Limits{}), s.now)
	g.core.SetUpstreams([]*catalog.Upstream{{ID: "a", Service: "s", Slots: 1 << 30}}, s.now)
	g.view = cluster.NewView(3600*time.Millisecond, 8*time.Second)
	g.card = cluster.Record{Instance: g.name, PeerAddress: g.name, Incarnation: g.card.Incarnation + 1, Ready: true}
	g.hasRead = false
	g.nextHeartbeat = s.now
}

// run lets time pass and the customers send.
func (s *simulatedCluster) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(clusterStep) {
		for _, g := range s.gateways {
			if g.hasRead && g.exceedsRestartReserve() {
				g.nextHeartbeat = min(g.nextHeartbeat, max(s.now, g.lastHeartbeat.Add(clusterUrgentHeartbeat)))
			}
			if s.now >= g.nextHeartbeat {
				g.lastHeartbeat = s.now
				wasFirst := !g.hasRead
				g.heartbeat(s.rows, s.now)
				g.nextHeartbeat = s.now.Add(clusterHeartbeat)
				if wasFirst {
					g.nextHeartbeat = s.now.Add(clusterStep)
				}
			}
		}
		if s.steps++; s.steps%tellSteps == 0 {
			s.tellHolders()
		}
		for _, c := range s.customers {
			s.send(c)
		}
	}
}

// send sends one step's requests of a customer.
func (s *simulatedCluster) send(c *simulatedCustomer) {
	mean := c.offered(s.now.Sub(s.start)) * clusterStep.Seconds() / requestTokens
	// A Poisson number of requests, as a sum of rare ones.
	for range int(20 * (mean + 1)) {
		if s.random.Float64() >= mean/(20*(mean+1)) {
			continue
		}
		s.requests++
		tokens := int(requestTokens * (0.2 + 1.6*s.random.Float64()))
		g := s.pick(c)
		c.asked++
		g.core.RequestArrived(relay.Request{
			Handle: relay.Handle(s.requests), ID: fmt.Sprint(s.requests), Host: "h", Path: "/r/x", Credential: c.name,
			Prompt: &relay.Prompt{Tokens: tokens},
		}, s.now)
		if s.finish(g) {
			c.use(float64(tokens), s.now)
			continue
		}
		c.refused++
	}
}

// tellHolders lets the holders of limits tell each other of their use.
func (s *simulatedCluster) tellHolders() {
	for _, g := range s.gateways {
		for _, partner := range g.core.LimitPartners() {
			to := s.byName[partner.Instance]
			if s.now < max(g.disconnectedUntil, to.disconnectedUntil) || s.random.Float64() < s.lossRate {
				continue
			}
			used, reserves := g.core.TellUse(s.now)
			to.core.HearUse(g.name, used, reserves, s.now, s.now)
		}
	}
}

// pick returns the gateway that a caller of a customer uses.
func (s *simulatedCluster) pick(c *simulatedCustomer) *gateway {
	count := len(s.gateways)
	if c.gateways != nil {
		count = min(c.gateways(s.now.Sub(s.start)), count)
	}
	return s.gateways[s.random.IntN(count)]
}

// answer lets a gateway answer the question of another one. Cut-off gateways neither ask
// nor answer, and some answers are lost on the way.
func (s *simulatedCluster) answer(from *gateway, ask relay.AskHolder) (limit.Decision, bool) {
	to := s.byName[ask.Holder.Instance]
	if s.now < max(from.disconnectedUntil, to.disconnectedUntil) {
		return limit.Decision{}, false
	}
	d := to.core.LendLimit(ask.Customer, ask.Amount, s.now)
	return d, s.random.Float64() >= s.lossRate
}

// finish ends the request that was just sent and reports whether it ran.
func (s *simulatedCluster) finish(g *gateway) bool {
	for _, a := range settle(g.core, func(ask relay.AskHolder) (limit.Decision, bool) { return s.answer(g, ask) }, s.now) {
		sent, ok := a.(relay.Send)
		if !ok {
			continue
		}
		g.core.HeadReceived(sent.Ref, sealedOK, s.now)
		g.core.BodyReceived(sent.Ref, relay.BodyChunk{Bytes: []byte("x"), FirstEvent: 1, LastEvent: 1}, s.now)
		g.core.ResponseEnded(sent.Ref, s.now)
		g.core.Actions()
		return true
	}
	return false
}

// steady returns a constant demand.
func steady(tokensPerSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return tokensPerSecond }
}

// hotAt returns a demand that rises at an instant.
func hotAt(at time.Duration, before, after float64) func(time.Duration) float64 {
	return func(d time.Duration) float64 {
		if d >= at {
			return after
		}
		return before
	}
}

var _ = Describe("Customers' limits over many gateways", func() {
	// Limits are 1.8 times what the customers usually use.
	customers := func(sizes ...float64) []*simulatedCustomer {
		var list []*simulatedCustomer
		for i, size := range sizes {
			list = append(list, &simulatedCustomer{name: fmt.Sprintf("customer-%d", i), rate: 1.8 * size, offered: steady(size)})
		}
		return list
	}

	DescribeTable("refuse no customer that stays below its limit, from the smallest to the largest",
		func(gateways int) {
			list := customers(20_000, 60_000, 200_000, 1_000_000)
			s := newSimulatedCluster(gateways, list)
			s.run(5 * time.Second)
			for _, c := range list {
				c.asked, c.refused = 0, 0
			}
			s.run(10 * time.Second)
			for _, c := range list {
				Expect(float64(c.refused)).To(BeNumerically("<=", 1+0.001*float64(c.asked)), "%s: %d of %d", c.name, c.refused, c.asked)
			}
		},
		Entry("4 gateways", 4), Entry("38 gateways", 38), Entry("100 gateways", 100), Entry("300 gateways", 300),
	)

	DescribeTable("refuse few requests of a customer that stays just below its limit",
		func(gateways int, size float64) {
			c := &simulatedCustomer{name: "c", rate: size, offered: steady(0.9 * size)}
			s := newSimulatedCluster(gateways, []*simulatedCustomer{c})
			s.run(10 * time.Second)
			c.asked, c.refused = 0, 0
			s.run(10 * time.Second)
			Expect(float64(c.refused)).To(BeNumerically("<=", 1+0.03*float64(c.asked)), "%d of %d", c.refused, c.asked)
		},
		Entry("a small one, 38 gateways", 38, 40_000.0), Entry("a large one, 38 gateways", 38, 600_000.0),
		Entry("a middle one, 300 gateways", 300, 200_000.0),
	)

	DescribeTable("hold a customer that suddenly sends many times its usual",
		func(gateways int, usual float64) {
			list := customers(usual)
			c := list[0]
			c.offered = hotAt(9*time.Second, usual, 7.5*usual)
			s := newSimulatedCluster(gateways, list)
			s.run(19 * time.Second)
			Expect(c.mostUsed).To(BeNumerically("<=", c.allowed()))
			// What fits into the limit is still served, if not all of it.
			served := float64(c.asked-c.refused) / float64(c.asked)
			Expect(served).To(BeNumerically(">=", 0.15))
		},
		Entry("a small one, 38 gateways", 38, 20_000.0), Entry("a large one, 38 gateways", 38, 600_000.0),
		Entry("a small one, 300 gateways", 300, 20_000.0), Entry("a middle one, 300 gateways", 300, 100_000.0),
		Entry("a large one, 300 gateways", 300, 600_000.0),
	)

	It("refuse few after all gateways were killed and started again", func() {
		list := customers(20_000, 200_000, 1_000_000)
		s := newSimulatedCluster(300, list)
		s.run(9 * time.Second)
		for _, g := range s.gateways {
			s.startGateway(g)
		}
		s.run(2 * time.Second)
		for _, c := range list {
			c.asked, c.refused = 0, 0
		}
		s.run(4 * time.Second)
		for _, c := range list {
			Expect(float64(c.refused)).To(BeNumerically("<=", 1+0.02*float64(c.asked)), "%s: %d of %d", c.name, c.refused, c.asked)
			Expect(c.mostUsed).To(BeNumerically("<=", c.allowed()))
		}
	})
})
