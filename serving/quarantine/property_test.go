package quarantine_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
)

// TestMergeOrder merges evidence of several gateways in two orders, with
// repetitions, and expects the same evidence of both.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		var published []quarantine.Evidence
		for range 3 {
			g := quarantine.NewTracker()
			for range rapid.IntRange(1, 12).Draw(t, "events") {
				at := now.Add(time.Duration(rapid.IntRange(-9000, -1).Draw(t, "at")) * time.Millisecond)
				parts := prompt(rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID).Draw(t, "parts")...)
				if rapid.Bool().Draw(t, "crashed") {
					g.Crashed(service, rapid.Uint64Range(1, 6).Draw(t, "upstream"), parts, at)
				} else {
					g.Succeeded(service, parts, at)
				}
			}
			published = append(published, g.Evidence(now)...)
		}
		a, b := quarantine.NewTracker(), quarantine.NewTracker()
		a.Merge(published, now)
		for _, i := range rapid.Permutation(indexes(len(published))).Draw(t, "order") {
			b.Merge(published[i:i+1], now)
			b.Merge(published[:i], now)
		}
		a.Merge(published, now)
		if got, want := crashesByPart(b, now), crashesByPart(a, now); !reflect.DeepEqual(got, want) {
			t.Fatalf("got crashes %v, want %v", got, want)
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// crashesByPart returns the crashes that count against each part.
func crashesByPart(t *quarantine.Tracker, now clock.Instant) map[uint64][]quarantine.Crash {
	out := make(map[uint64][]quarantine.Crash)
	for _, e := range t.Evidence(now) {
		if len(e.Crashes) > 0 {
			out[e.Part] = e.Crashes
		}
	}
	return out
}
