package relay_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// Parameters of the simulation of several gateways.
const (
	stepTime       = 50 * time.Millisecond
	heartbeatEvery = time.Second
	holdTime       = 8 * time.Second
	limitRate      = 60.0
	limitBurst     = 30.0
	limitSlack     = 40.0
	limitOverage   = 0.1
	limitWindow    = 8 * time.Second
	retryRatio     = 0.2
	retryExtra     = 40
	retryWindow    = 10 * time.Second
)

// gateway simulates one gateway: its core, its view of the other gateways, and the
// faults that affect it.
type gateway struct {
	name              string
	core              *relay.Core
	view              *cluster.View
	card              cluster.Record
	nextHeartbeat     clock.Instant
	lastHeartbeat     clock.Instant
	deadUntil         clock.Instant
	pausedUntil       clock.Instant
	disconnectedUntil clock.Instant
	hasRead           bool
	// requestCost is the cost of each request.
	requestCost float64
	// spent are the totals of use at the last heartbeat.
	spent map[string]float64
}

func (g *gateway) start(now clock.Instant) {
	g.core = relay.New(relay.Config{
		RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, LimitOverage: limitOverage, LimitSlack: limitSlack,
		LimitWindow: limitWindow, GatewayCountUnknown: true,
	})
	g.core.Configure(limitCatalog(g.requestCost), now)
	g.core.SetUpstreams([]*catalog.Upstream{{ID: "a", Service: "s", Slots: 9999}, {ID: "b", Service: "s", Slots: 9999}}, now)
	g.view = cluster.NewView(2300*time.Millisecond, holdTime)
	g.card = cluster.Record{Instance: g.name, PeerAddress: g.name, Incarnation: g.card.Incarnation + 1, Ready: true}
	g.nextHeartbeat = now
	g.hasRead = false
}

// heartbeat writes the gateway's row and reads all rows, as the cluster duty does.
// Without the store it only updates the division, which becomes stale.
func (g *gateway) heartbeat(rows map[string]cluster.Record, now clock.Instant) {
	if now < g.disconnectedUntil {
		if g.hasRead {
			g.core.SetDivision(g.view.Divide(g.name, now), now)
		}
		return
	}
	if now < g.nextHeartbeat {
		return
	}
	g.nextHeartbeat = now.Add(heartbeatEvery)
	// The first time it only reads: the row is still that of its former process.
	if g.hasRead {
		g.card.Sequence++
		g.card.Used, g.card.Reserves = g.core.PublishUse(now)
		g.card.CountedAt = time.Duration(now)
		g.spent = g.core.SpentOfLimits()
		rows[g.name] = g.card
		g.core.LimitsStored(g.spent, g.card.Reserves, now)
	}
	cards := make([]cluster.Record, 0, len(rows))
	for _, card := range rows {
		card.CountAge = time.Duration(now) - card.CountedAt
		cards = append(cards, card)
	}
	g.view.Update(cards, now)
	if !g.hasRead {
		if former, ok := rows[g.name]; ok {
			g.core.InheritUse(limit.Former{Used: former.Used, Reserves: former.Reserves, Age: time.Duration(now) - former.CountedAt}, now)
		}
	}
	g.hasRead = true
	g.core.SetDivision(g.view.Divide(g.name, now), now)
}

// exceedsRestartReserve reports whether much of what the gateway's record reserves for a
// restart has been used, so that the next one is due.
func (g *gateway) exceedsRestartReserve() bool {
	for name, spent := range g.core.SpentOfLimits() {
		if spent-g.spent[name] > 0.8*g.card.Reserves[name].Restart {
			return true
		}
	}
	return false
}

func limitCatalog(requestCost float64) *catalog.Catalog {
	return catalog.New(1, []*catalog.Route{{
		Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2, Timeout: time.Second,
		LatencyTarget: 300 * time.Millisecond, Services: []catalog.WeightedService{{Service: "s", Weight: 1}},
	}}, nil, []*catalog.Customer{{Name: "acme", Credentials: []string{"k"}, Rate: limitRate, Burst: limitBurst, CountsTokens: true, PlainTokens: requestCost}}, catalog.Limits{})
}

// slidingCount counts events in a sliding window.
type slidingCount struct {
	length time.Duration
	at     []clock.Instant
}

// add counts an event and returns the count.
func (s *slidingCount) add(now clock.Instant) int {
	s.at = append(s.at, now)
	for now.Sub(s.at[0]) >= s.length {
		s.at = s.at[1:]
	}
	return len(s.at)
}

// TestMembers checks that several gateways together stay within a customer's limit
// and the retry budget while they pause, lose the store, stop and restart. The
// customer sends more than its limit, and upstreams may reject requests.
func TestMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		rows := make(map[string]cluster.Record)
		// count requests of a cost are sent every so many steps. The loads are two
		// and three times the limit with small requests, and three times the limit
		// and just above it with large ones.
		type load struct {
			every, count int
			cost         float64
		}
		offered := rapid.SampledFrom([]load{{1, 6, 1}, {1, 9, 1}, {1, 1, 10}, {3, 1, 10}}).Draw(t, "offered")
		gateways := make([]*gateway, rapid.IntRange(2, 7).Draw(t, "gateways"))
		for i := range gateways {
			gateways[i] = &gateway{name: string(rune('a' + i)), requestCost: offered.cost}
			gateways[i].start(now)
		}
		// Let the gateways discover each other before the first request.
		for range 60 {
			for _, g := range gateways {
				g.heartbeat(rows, now)
			}
			now = now.Add(stepTime)
		}
		runs := &slidingCount{length: limitWindow}
		retries := &slidingCount{length: retryWindow}
		requests := &slidingCount{length: 2 * retryWindow}
		weights := make([]int, len(gateways))
		turn := 0
		// Upstreams reject the first attempt of this many of every three requests.
		rejected := rapid.SampledFrom([]int{0, 2}).Draw(t, "rejected")
		for step := range 600 {
			if step%60 == 0 {
				for i := range weights {
					weights[i] = rapid.IntRange(0, 4).Draw(t, "weight")
				}
				injectFault(t, gateways, now)
			}
			for _, g := range gateways {
				switch {
				case now < g.deadUntil || now < g.pausedUntil:
				case g.core == nil:
					g.start(now)
					g.heartbeat(rows, now)
				default:
					g.heartbeat(rows, now)
				}
			}
			for range offered.count {
				if step%offered.every != 0 {
					break
				}
				g := pickGateway(gateways, weights, &turn, now)
				if g == nil {
					break
				}
				requests.add(now)
				answer := func(ask relay.AskHolder) (limit.Decision, bool) {
					for _, other := range gateways {
						isReached := now >= other.deadUntil && now >= other.pausedUntil && now >= max(g.disconnectedUntil, other.disconnectedUntil)
						if other.name == ask.Holder.Instance && other.core != nil && isReached {
							return other.core.LendLimit(ask.Customer, ask.Amount, now), true
						}
					}
					return limit.Decision{}, false
				}
				sends, ran := serveRequest(g.core, answer, turn, rejected, now)
				for range sends - 1 {
					retries.add(now)
				}
				if ran {
					if got := runs.add(now); float64(got)*offered.cost > (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOverage)+limitSlack {
						t.Fatalf("%d requests ran within the limit window at %v", got, now.Sub(clock.Instant(time.Hour)))
					}
				}
				if allowed := retryRatio*float64(len(requests.at))/2 + retryExtra; float64(len(retries.at)) > allowed {
					t.Fatalf("%d retries, more than the %.0f allowed, within the retry window at %v", len(retries.at), allowed, now.Sub(clock.Instant(time.Hour)))
				}
			}
			now = now.Add(stepTime)
		}
	})
}

// injectFault pauses, stops or disconnects some of the gateways, or none.
func injectFault(t *rapid.T, gateways []*gateway, now clock.Instant) {
	until := func(low, high int) clock.Instant {
		return now.Add(time.Duration(rapid.IntRange(low, high).Draw(t, "ms")) * time.Millisecond)
	}
	switch rapid.SampledFrom([]string{"", "pause", "kill", "disconnect", "restart half", "outage"}).Draw(t, "event") {
	case "pause":
		gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, "which")].pausedUntil = until(200, 12000)
	case "kill":
		g := gateways[rapid.IntRange(0, len(gateways)-1).Draw(t, "which")]
		g.core, g.deadUntil = nil, until(200, 12000)
	case "disconnect":
		for i := range gateways {
			if i%3 == 0 {
				gateways[i].disconnectedUntil = until(1000, 20000)
			}
		}
	case "restart half":
		for _, g := range gateways[:(len(gateways)+1)/2] {
			g.core, g.deadUntil = nil, until(500, 3000)
		}
	case "outage":
		restored := until(500, 6000)
		for _, g := range gateways {
			g.disconnectedUntil = restored
		}
	}
}

// pickGateway returns the next running gateway by weighted round robin; nil if
// there is none.
func pickGateway(gateways []*gateway, weights []int, turn *int, now clock.Instant) *gateway {
	for range len(gateways) * 5 {
		*turn++
		i := *turn % len(gateways)
		g := gateways[i]
		if g.core != nil && now >= g.deadUntil && now >= g.pausedUntil && *turn/len(gateways)%5 <= weights[i] {
			return g
		}
	}
	return nil
}

// serveRequest sends a request through a core. Upstreams run it, or reject its
// first attempt if number modulo 3 is below rejected. It returns how often the
// request was sent and whether it ran.
func serveRequest(core *relay.Core, answer answerer, number, rejected int, now clock.Instant) (sends int, ran bool) {
	core.RequestArrived(relay.Request{
		Handle: relay.Handle(number), ID: fmt.Sprint(number), Host: "h", Path: "/safe/x", Credential: "k",
	}, now)
	for ; ; sends++ {
		var sent *relay.Send
		for _, a := range settle(core, answer, now) {
			if s, isSend := a.(relay.Send); isSend {
				sent = &s
			}
		}
		if sent == nil {
			return sends, ran
		}
		if head := (relay.ResponseHead{Status: 200, Sealed: true}); sends > 0 || number%3 >= rejected {
			ran = true
			core.HeadReceived(sent.Ref, head, now)
		} else {
			core.HeadReceived(sent.Ref, relay.ResponseHead{Status: 503, NotRun: true}, now)
		}
		core.ResponseEnded(sent.Ref, now)
	}
}
