package faults

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

const (
	// longestDepartureLead bounds how long before a drill an upstream leaves.
	longestDepartureLead = 5 * time.Second
	// fastVersions is by how many versions the store rises before a drill that is to find
	// gateways far ahead of it.
	fastVersions = 2500
	// aheadChance is one in how many drills that find them so, and departureTwice one in how
	// many that are followed by another one.
	aheadChance, departureTwice = 2, 4
	// longestDepartureWait bounds the time from the return of the store, when others have
	// written again, to the next departure.
	longestDepartureWait = time.Second
)

// departurePlan is a drill with upstreams that leave before and after it. All of it is drawn
// at once, so that a seed stands for the same plans however long they take.
type departurePlan struct {
	// isAhead is whether the versions of the store have risen fast before the drill.
	isAhead bool
	// lead is how long before the drill an upstream leaves, and wait how long after it another
	// one does. isRemoved tells which of them are removed without having been draining.
	lead, wait time.Duration
	isRemoved  [2]bool
	drills     []rowstore.Drill
	restarts   restarts
	// gateway is the number of the one that is started anew.
	gateway int
}

func drawDeparturePlan(random *rand.Rand, gateways int) departurePlan {
	p := departurePlan{
		isAhead: random.IntN(aheadChance) == 0,
		lead:    drawSpan(random, 0, longestDepartureLead), wait: drawSpan(random, 0, longestDepartureWait),
		isRemoved: [2]bool{random.IntN(2) == 0, random.IntN(2) == 0},
		restarts:  restarts(random.IntN(int(restartKinds))), gateway: random.IntN(gateways),
		drills: []rowstore.Drill{drawDrill(random)},
	}
	if random.IntN(departureTwice) == 0 {
		p.drills = append(p.drills, drawDrill(random))
	}
	return p
}
