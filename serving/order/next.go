package order

import (
	"slices"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Reads lists the engines whose state is to be read now.
func Reads(engines map[string]*Engine, now clock.Instant) []*Engine {
	var due []*Engine
	for _, e := range engines {
		if !e.Busy && !now.Before(e.ReadAt) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, byInstance)
	return due
}

// Orders lists the engines to be given an order now, those of the pool with the
// greatest need first: the pool with the smallest part of its engines serving.
func Orders(engines map[string]*Engine, gate Gate) []*Engine {
	room := gate.MaxLoading
	serving := map[string]int{}
	total := map[string]int{}
	var candidates []*Engine
	for _, e := range engines {
		total[e.Pool]++
		if e.IsServing() {
			serving[e.Pool]++
		}
		if e.isLoading() {
			room--
		}
		if e.needsOrder() && (e.FencingChecked || gate.Unchecked) {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, byInstance)
	var picked []*Engine
	for len(candidates) > 0 && room > 0 {
		at := neediest(candidates, serving, total)
		e := candidates[at]
		picked = append(picked, e)
		// The next choice counts this engine as if it served already.
		serving[e.Pool]++
		candidates = slices.Delete(candidates, at, at+1)
		room--
	}
	return picked
}

// isLoading reports whether the engine takes part of the weight store's rate.
func (e *Engine) isLoading() bool {
	return e.State != nil && (e.State.IsLoading() || (e.Busy && !e.State.IsOrdered(e.Wanted)))
}

func neediest(candidates []*Engine, serving, total map[string]int) int {
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
