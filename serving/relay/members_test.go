package relay_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// The bounds of the model of many gateways.
const (
	memberStep   = 50 * time.Millisecond
	memberBeat   = time.Second
	memberHold   = 8 * time.Second
	limitRate    = 60.0
	limitBurst   = 30.0
	limitSlack   = 40.0
	limitOverage = 0.1
	limitWindow  = 8 * time.Second
	retryRatio   = 0.2
	retryExtra   = 40
	retryWindow  = 10 * time.Second
)

// member is a gateway in the model: its decisions, what it knows of the others,
// and what befalls it.
type member struct {
	name     string
	core     *relay.Core
	view     *cluster.View
	card     cluster.Record
	beatAt   clock.Instant
	deadTo   clock.Instant
	pausedTo clock.Instant
	cutTo    clock.Instant
	told     bool
	// size is what a request counts.
	size float64
}

func (m *member) start(now clock.Instant) {
	m.core = relay.New(relay.Config{
		RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, LimitSlack: limitSlack, LimitWindow: limitWindow, Unconfirmed: true,
	})
	m.core.Configure(memberCatalog(m.size), now)
	m.core.SetUpstreams([]*catalog.Upstream{{ID: "a", Service: "s", Slots: 9999}, {ID: "b", Service: "s", Slots: 9999}}, now)
	m.view = cluster.NewView(3*time.Second, memberHold)
	m.card = cluster.Record{Instance: m.name, Incarnation: m.card.Incarnation + 1, Ready: true}
	m.beatAt = now
	m.told = false
}

// beat writes the row and reads all, as the cluster duty does. Without the store
// it only finds that what it knows is old.
func (m *member) beat(rows map[string]cluster.Record, now clock.Instant) {
	if now < m.cutTo {
		if m.told {
			m.core.Divide(m.view.Divide(m.name, now), now)
		}
		return
	}
	if now < m.beatAt {
		return
	}
	m.beatAt = now.Add(memberBeat)
	// The first time it only reads: the row is that of its former process.
	if m.told {
		m.card.Sequence++
		m.card.Demand = m.core.Demand(now)
		rows[m.name] = m.card
	}
	cards := make([]cluster.Record, 0, len(rows))
	for _, card := range rows {
		cards = append(cards, card)
	}
	m.view.Update(cards, now)
	m.told = true
	m.core.Divide(m.view.Divide(m.name, now), now)
}

func memberCatalog(size float64) *catalog.Catalog {
	return catalog.New(1, []*catalog.Route{{
		Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.Idempotent, Attempts: 2, Timeout: time.Second,
		Target: 300 * time.Millisecond, Portions: []catalog.Portion{{Service: "s", Weight: 1}},
	}}, nil, []*catalog.Customer{{Name: "acme", Credentials: []string{"k"}, Rate: limitRate, Burst: limitBurst, CountsTokens: true, PlainTokens: size}}, catalog.Limits{})
}

// sliding sums events over any window of a length.
type sliding struct {
	length time.Duration
	at     []clock.Instant
}

func (s *sliding) add(now clock.Instant) int {
	s.at = append(s.at, now)
	for now.Sub(s.at[0]) >= s.length {
		s.at = s.at[1:]
	}
	return len(s.at)
}

// TestMembers checks the limit of a customer and the retry budget over gateways
// that pause, lose the store, die and come back, while the customer asks for
// more than its limit and upstreams may reject.
func TestMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		rows := make(map[string]cluster.Record)
		// In a step of so many, how many requests of what size: twice and three times
		// the limit, and large ones of three times the limit and of just above it.
		type offer struct {
			every, count int
			size         float64
		}
		offered := rapid.SampledFrom([]offer{{1, 6, 1}, {1, 9, 1}, {1, 1, 10}, {3, 1, 10}}).Draw(t, "offered")
		members := make([]*member, rapid.IntRange(2, 7).Draw(t, "gateways"))
		for i := range members {
			members[i] = &member{name: string(rune('a' + i)), size: offered.size}
			members[i].start(now)
		}
		// The gateways have found each other before the first request.
		for range 60 {
			for _, m := range members {
				m.beat(rows, now)
			}
			now = now.Add(memberStep)
		}
		runs := &sliding{length: limitWindow}
		extras := &sliding{length: retryWindow}
		firsts := &sliding{length: 2 * retryWindow}
		weights := make([]int, len(members))
		asked := 0
		// Of three requests, those that are rejected where they go first.
		rejected := rapid.SampledFrom([]int{0, 2}).Draw(t, "rejected")
		for step := range 600 {
			if step%60 == 0 {
				for i := range weights {
					weights[i] = rapid.IntRange(0, 4).Draw(t, "weight")
				}
				befall(t, members, now)
			}
			for _, m := range members {
				switch {
				case now < m.deadTo || now < m.pausedTo:
				case m.core == nil:
					m.start(now)
					m.beat(rows, now)
				default:
					m.beat(rows, now)
				}
			}
			for range offered.count {
				if step%offered.every != 0 {
					break
				}
				m := pick(members, weights, &asked, now)
				if m == nil {
					break
				}
				firsts.add(now)
				sends, ran := serve(m.core, asked, rejected, now)
				for range sends - 1 {
					extras.add(now)
				}
				if ran {
					if got := runs.add(now); float64(got)*offered.size > (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOverage)+limitSlack {
						t.Fatalf("%d requests ran in a window at %v", got, now.Sub(clock.Instant(time.Hour)))
					}
				}
				if allowed := retryRatio*float64(len(firsts.at))/2 + retryExtra; float64(len(extras.at)) > allowed {
					t.Fatalf("%d repeats in a window of %.0f at %v", len(extras.at), allowed, now.Sub(clock.Instant(time.Hour)))
				}
			}
			now = now.Add(memberStep)
		}
	})
}

// befall lets something happen to some of the gateways.
func befall(t *rapid.T, members []*member, now clock.Instant) {
	span := func(low, high int) clock.Instant {
		return now.Add(time.Duration(rapid.IntRange(low, high).Draw(t, "ms")) * time.Millisecond)
	}
	switch rapid.SampledFrom([]string{"", "pause", "kill", "cut", "herd", "outage"}).Draw(t, "event") {
	case "pause":
		members[rapid.IntRange(0, len(members)-1).Draw(t, "which")].pausedTo = span(200, 12000)
	case "kill":
		m := members[rapid.IntRange(0, len(members)-1).Draw(t, "which")]
		m.core, m.deadTo = nil, span(200, 12000)
	case "cut":
		for i := range members {
			if i%3 == 0 {
				members[i].cutTo = span(1000, 20000)
			}
		}
	case "herd":
		for _, m := range members[:(len(members)+1)/2] {
			m.core, m.deadTo = nil, span(500, 3000)
		}
	case "outage":
		until := span(500, 6000)
		for _, m := range members {
			m.cutTo = until
		}
	}
}

// pick chooses the next gateway by weight among those that run.
func pick(members []*member, weights []int, asked *int, now clock.Instant) *member {
	for range len(members) * 5 {
		*asked++
		i := *asked % len(members)
		m := members[i]
		if m.core != nil && now >= m.deadTo && now >= m.pausedTo && *asked/len(members)%5 <= weights[i] {
			return m
		}
	}
	return nil
}

// serve lets one request run, or be rejected and sent once more, and returns how
// often it was sent and whether it ran.
func serve(core *relay.Core, number, rejected int, now clock.Instant) (sends int, ran bool) {
	core.Arrive(relay.Request{
		Handle: relay.Handle(number), ID: fmt.Sprint(number), Host: "h", Path: "/safe/x", Credential: "k",
	}, now)
	for ; ; sends++ {
		var sent *relay.Send
		for _, a := range core.Actions() {
			if s, isSend := a.(relay.Send); isSend {
				sent = &s
			}
		}
		if sent == nil {
			return sends, ran
		}
		if head := (relay.Head{Status: 200, Sealed: true}); sends > 0 || number%3 >= rejected {
			ran = true
			core.Heard(sent.Ref, head, now)
		} else {
			core.Heard(sent.Ref, relay.Head{Status: 503, NotRun: true}, now)
		}
		core.Done(sent.Ref, now)
	}
}
