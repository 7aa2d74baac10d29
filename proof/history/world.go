package history

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// World is virtual time and the events in it.
type World struct {
	// Random is the source of all choices of the run.
	Random *rand.Rand

	now   clock.Instant
	queue eventQueue
	count uint64
}

// origin is when a run starts, late enough that no instant is zero.
const origin = clock.Instant(time.Hour)

// NewWorld makes a world whose choices follow from the seed.
func NewWorld(seed uint64) *World {
	return &World{Random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), now: origin}
}

// Now returns the true time, which no process knows.
func (w *World) Now() clock.Instant {
	return w.now
}

// After calls f when d has passed. Events of one instant are called in the
// order in which they were asked for.
func (w *World) After(d time.Duration, f func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.count, call: f})
}

// Run calls the events of the given time.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.call()
	}
	w.now = end
}

// Chance reports true in the given share of the calls.
func (w *World) Chance(perMille int) bool {
	return w.Random.IntN(1000) < perMille
}

// Between draws a duration from least to most.
func (w *World) Between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.Random.Int64N(int64(most-least)+1))
}
