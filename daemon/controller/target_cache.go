package controller

import (
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// targetCache caches the target placement of a pool until its inputs change.
type targetCache struct {
	valid   bool
	request place.Request
	target  place.Target
}

// get returns the target placement. A request without a pool has an empty one.
func (t *targetCache) get(r place.Request) place.Target {
	if r.Pool == nil {
		r.Pool = &intent.Pool{}
	}
	if !t.valid || !equalRequests(t.request, r) {
		t.request, t.target, t.valid = r, place.Choose(r), true
	}
	return t.target
}

func equalRequests(a, b place.Request) bool {
	return a.Pool == b.Pool && slices.Equal(a.Prices, b.Prices) &&
		maps.Equal(a.Current, b.Current) && maps.Equal(a.Unavailable, b.Unavailable)
}
