package faults

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

const (
	// drillOutages is the number of outages to draw from.
	drillOutages = 4
	// blindChance is one in how many drills that wait for no takeover, and twiceChance one
	// in how many that are followed by another one.
	blindChance = 4
	twiceChance = 3
	// shortestAway and longestAway bound how long the store is away, shortestAge and
	// longestAge how old the copy is, and shortestRewrite and longestRewrite when others
	// have written again what they had written.
	shortestAway, longestAway       = 100 * time.Millisecond, 1500 * time.Millisecond
	shortestAge, longestAge         = time.Second, 8 * time.Second
	shortestRewrite, longestRewrite = 100 * time.Millisecond, 2 * time.Second
	// longestLead bounds how long before the outage the copy was made.
	longestLead = time.Second
	// longestDrillPause bounds the pauses between outages and drills.
	longestDrillPause = 1500 * time.Millisecond
)

// drillPlan is an outage of the holder of the duties and the drills that follow it. All
// of it is drawn at once, so that a seed stands for the same plans however long they take.
type drillPlan struct {
	outage int
	end    outageEnd
	// waits is whether the first drill comes after another gateway has taken the duties
	// over, from a copy that was made lead before the outage.
	waits  bool
	lead   time.Duration
	pause  time.Duration // before the first drill
	drills []rowstore.Drill
	rest   time.Duration // after each drill
}

func drawDrillPlan(random *rand.Rand) drillPlan {
	p := drillPlan{
		outage: random.IntN(drillOutages), end: outageEnd(random.IntN(int(outageEnds))),
		waits: random.IntN(blindChance) > 0, lead: drawSpan(random, 0, longestLead),
		pause: drawSpan(random, 0, longestDrillPause), rest: drawSpan(random, 0, longestDrillPause),
		drills: []rowstore.Drill{drawDrill(random)},
	}
	if random.IntN(twiceChance) == 0 {
		p.drills = append(p.drills, drawDrill(random))
	}
	return p
}

func drawDrill(random *rand.Rand) rowstore.Drill {
	return rowstore.Drill{
		Away: drawSpan(random, shortestAway, longestAway), Age: drawSpan(random, shortestAge, longestAge),
		Rewrite: drawSpan(random, shortestRewrite, longestRewrite),
	}
}

func drawSpan(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
