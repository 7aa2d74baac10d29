package order

import (
	"slices"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// DueReads returns the engines whose state is to be read now, by instance ID.
func DueReads(engines map[string]*Engine, now clock.Instant) []*Engine {
	var due []*Engine
	for _, e := range engines {
		if !e.Busy && !now.Before(e.ReadAt) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, byInstance)
	return due
}

// NextOrders returns the engines to be given an order now. Engines of the pool
// with the smallest part of its engines serving come first.
func NextOrders(engines map[string]*Engine, limits Limits) []*Engine {
	slots := limits.MaxLoading
	serving := map[string]int{}
	total := map[string]int{}
	var candidates []*Engine
	for _, e := range engines {
		total[e.Pool]++
		if e.IsServing() {
			serving[e.Pool]++
		}
		if e.isLoading() {
			slots--
		}
		if e.needsOrder() && (e.FencingChecked || limits.AllowUnchecked) {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, byInstance)
	var picked []*Engine
	for len(candidates) > 0 && slots > 0 {
		at := leastServed(candidates, serving, total)
		e := candidates[at]
		picked = append(picked, e)
		// Count the engine as serving, so that the next choice considers the
		// other pools too.
		serving[e.Pool]++
		candidates = slices.Delete(candidates, at, at+1)
		slots--
	}
	return picked
}

// isLoading reports whether the engine loads weights, or may soon because an
// order is in progress.
func (e *Engine) isLoading() bool {
	return e.State != nil && (e.State.IsLoading() || (e.Busy && !e.State.ReflectsOrder(e.Desired)))
}

// leastServed returns the index of the first candidate of the pool with the
// smallest part of its engines serving.
func leastServed(candidates []*Engine, serving, total map[string]int) int {
	best, bestShare := 0, 2.0
	for i, e := range candidates {
		share := float64(serving[e.Pool]) / float64(total[e.Pool])
		if share < bestShare {
			best, bestShare = i, share
		}
	}
	return best
}

func byInstance(a, b *Engine) int {
	return strings.Compare(a.Instance, b.Instance)
}
