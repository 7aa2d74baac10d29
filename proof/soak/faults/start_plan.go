package faults

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

const (
	// shortestStartLead and longestStartLead bound the time from a change of the configuration
	// to the drill that loses it: all gateways know it by then.
	shortestStartLead, longestStartLead = effectTime, 2 * effectTime
	// longestStartAway bounds how long the store is away, and longestOlder by how much the copy
	// is older than the change.
	longestStartAway, longestOlder = 3500 * time.Millisecond, 2 * time.Second
	// startRewrite is when the operator has written again. It is long enough to see what is
	// served meanwhile.
	startRewrite = 7 * time.Second
	// longestAfter bounds how long after the store's return a gateway is killed, and
	// shortestDown and longestDown how long it is down.
	longestAfter              = time.Second
	shortestDown, longestDown = 100 * time.Millisecond, time.Second
)

// startPlan is a drill that loses a change of the configuration, and gateways that are killed
// and started anew around it. All of it is drawn at once, so that a seed stands for the same
// plan however long it takes.
type startPlan struct {
	lead  time.Duration
	drill rowstore.Drill
	kills []plannedKill
}

func drawStartPlan(random *rand.Rand, gateways int) startPlan {
	p := startPlan{
		lead:  drawSpan(random, shortestStartLead, longestStartLead),
		drill: rowstore.Drill{Away: drawSpan(random, shortestAway, longestStartAway), Rewrite: startRewrite},
	}
	p.drill.Age = p.lead + drawSpan(random, longestOlder/10, longestOlder)
	numbers := random.Perm(gateways)[:1+random.IntN(gateways)]
	latest := p.drill.Away + longestAfter
	if len(numbers) == gateways {
		// None that knows the change may be left, or has told of it, when the store is back.
		latest = p.drill.Away
	}
	for _, n := range numbers {
		p.kills = append(p.kills, plannedKill{gateway: n, at: drawSpan(random, 0, latest), down: drawSpan(random, shortestDown, longestDown)})
	}
	return p
}
