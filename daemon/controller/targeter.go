package controller

import (
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// targeter keeps the placement of a pool until what it depends on changes.
type targeter struct {
	known   bool
	request place.Request
	target  place.Target
}

// choose returns the wanted placement; a request without a pool wants none.
func (t *targeter) choose(r place.Request) place.Target {
	if r.Pool == nil {
		r.Pool = &intent.Pool{}
	}
	if !t.known || !sameRequest(t.request, r) {
		t.request, t.target, t.known = r, place.Choose(r), true
	}
	return t.target
}

func sameRequest(a, b place.Request) bool {
	return a.Pool == b.Pool && slices.Equal(a.Prices, b.Prices) &&
		maps.Equal(a.Current, b.Current) && maps.Equal(a.Unavailable, b.Unavailable)
}
