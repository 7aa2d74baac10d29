package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// publication is what a gateway has published, and when it reaches the others.
type publication struct {
	at, arrives clock.Instant
	used        map[string]limit.Use
	reserves    map[string]limit.Reserve
}

// node is a gateway of the test of the bound.
type node struct {
	name         string
	table        *limit.Table
	publications []publication
	// stored is the newest publication in the store, and spent the totals of use then.
	stored   *publication
	spent    map[string]float64
	cutUntil clock.Instant
}

// newest returns the newest publication of a node that has reached the others.
func (n *node) newest(now clock.Instant) (publication, bool) {
	for i := len(n.publications) - 1; i >= 0; i-- {
		if p := n.publications[i]; !now.Before(p.arrives) {
			return p, true
		}
	}
	return publication{}, false
}

// Parameters of the test of the bound.
const (
	boundStep     = 100 * time.Millisecond
	boundRate     = 10_000.0
	boundBurst    = 10_000.0
	boundSlack    = 20_000.0
	boundOverage  = 0.1
	boundWindow   = 8 * time.Second
	boundNewsTime = 2500 * time.Millisecond
)

var boundConfig = limit.Config{Window: boundWindow, Overage: boundOverage, Slack: boundSlack}

// divide tells a node what it knows of the others. A node that is cut off learns nothing.
func divide(n *node, nodes []*node, now clock.Instant) {
	if now.Before(n.cutUntil) {
		return
	}
	d := limit.Division{
		Instance: n.name, IsReady: true, Share: 1 / float64(len(nodes)), CurrentUntil: now.Add(boundNewsTime), CurrentFor: boundNewsTime,
	}
	for _, other := range nodes {
		p, ok := other.newest(now)
		if other == n || !ok {
			continue
		}
		d.Peers = append(d.Peers, limit.Peer{
			Holder: limit.Holder{Instance: other.name, Address: other.name}, IsReady: now.Sub(p.at) < 3600*time.Millisecond,
			Used: p.used, Reserves: p.reserves, CountedAt: p.at, Share: d.Share,
		})
	}
	n.table.SetDivision(d, now)
}

// publish publishes the use of a node, which reaches the others after a delay.
func publish(n *node, delay time.Duration, now clock.Instant) {
	used, reserves := n.table.Publish(now)
	if now.Before(n.cutUntil) {
		return
	}
	p := publication{now, now.Add(delay), used, reserves}
	n.publications = append(n.publications, p)
	n.stored, n.spent = &p, n.table.Spent()
	n.table.Stored(n.spent, reserves, now)
}

// isPublicationDue reports whether much of what the store reserves for a restart is used.
func isPublicationDue(n *node) bool {
	return n.stored != nil && n.table.Spent()[customer]-n.spent[customer] > 0.8*n.stored.reserves[customer].Restart
}

// restart starts a node anew, with what its former process has published.
func restart(n *node, now clock.Instant) {
	n.table = limit.NewTable(boundConfig)
	n.table.Configure(customers(boundRate, boundBurst), now)
	if p := n.stored; p != nil {
		n.table.Inherit(limit.Former{Used: p.used, Reserves: p.reserves, Age: now.Sub(p.at)}, now)
	}
}

// TestBound checks that all gateways together never admit more than a limit allows in a
// window, whatever the load does and however news is delayed, lost or cut off.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		nodes := make([]*node, rapid.IntRange(1, 9).Draw(t, "gateways"))
		for i := range nodes {
			nodes[i] = &node{name: fmt.Sprintf("g%d", i)}
			restart(nodes[i], now)
		}
		type spent struct {
			at     clock.Instant
			amount float64
		}
		var uses []spent
		hash, load, target := uint64(0), 0.0, -1
		for step := range 400 {
			if step%20 == 0 {
				load = rapid.SampledFrom([]float64{0, 0.5, 1, 5, 25}).Draw(t, "load")
				target = rapid.IntRange(-1, len(nodes)-1).Draw(t, "target")
				victim := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "victim")]
				switch rapid.SampledFrom([]string{"", "", "cut", "cut all", "kill", "kill all"}).Draw(t, "trouble") {
				case "cut":
					victim.cutUntil = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "s")) * time.Second)
				case "cut all":
					for _, n := range nodes {
						n.cutUntil = now.Add(4 * time.Second)
					}
				case "kill":
					restart(victim, now)
				case "kill all":
					for _, n := range nodes {
						restart(n, now)
					}
				}
			}
			for i, n := range nodes {
				if (step+i)%5 == 0 || isPublicationDue(n) {
					divide(n, nodes, now)
					publish(n, time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay"))*time.Millisecond, now)
				}
			}
			amount := float64(rapid.IntRange(200, 3000).Draw(t, "amount"))
			for range int(load*boundRate*boundStep.Seconds()/amount) + 1 {
				hash++
				n := nodes[int(hash)%len(nodes)]
				if target >= 0 {
					n = nodes[target]
				}
				if !admits(n, nodes, amount, hash, now) {
					continue
				}
				uses = append(uses, spent{now, amount})
			}
			for len(uses) > 0 && now.Sub(uses[0].at) >= boundWindow {
				uses = uses[1:]
			}
			sum := 0.0
			for _, u := range uses {
				sum += u.amount
			}
			if allowed := (boundRate*boundWindow.Seconds()+boundBurst)*(1+boundOverage) + boundSlack; sum > allowed {
				t.Fatalf("%.0f used in a window, %.0f allowed, after %v", sum, allowed, now.Sub(clock.Instant(time.Hour)))
			}
			now = now.Add(boundStep)
		}
	})
}

// admits reports whether a node admits a request, or one that it asks.
func admits(n *node, nodes []*node, amount float64, hash uint64, now clock.Instant) bool {
	var asked []string
	for range 3 {
		d := n.table.Charge(customer, amount, hash, asked, now)
		if d.Outcome != limit.Ask {
			return d.Outcome == limit.Admitted
		}
		asked = append(asked, d.Holder.Instance)
		for _, other := range nodes {
			if other.name != d.Holder.Instance || now.Before(max(n.cutUntil, other.cutUntil)) {
				continue
			}
			if other.table.Lend(customer, amount, now).Outcome == limit.Admitted {
				return true
			}
		}
	}
	return false
}
