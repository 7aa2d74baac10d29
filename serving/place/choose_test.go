package place_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

var domains = []string{"a", "b", "c"}

// randomRequest draws a small pool, prices, current instances and unavailable
// options.
func randomRequest(t *rapid.T) place.Request {
	pool := &intent.Pool{
		Name:             "pool",
		Replicas:         rapid.IntRange(1, 5).Draw(t, "replicas"),
		FailureDomains:   domains[:rapid.IntRange(1, 3).Draw(t, "domains")],
		MachineClasses:   []string{"m"},
		ReclaimableShare: rapid.SampledFrom([]float64{0, 0.34, 0.5, 0.67, 1}).Draw(t, "share"),
	}
	r := place.Request{Pool: pool, Current: map[place.Option]int{}, Unavailable: map[place.Option]bool{}}
	for _, d := range pool.FailureDomains {
		for _, reclaimable := range []bool{true, false} {
			o := place.Option{FailureDomain: d, MachineClass: "m", Reclaimable: reclaimable}
			micros := rapid.Int64Range(1, 20).Draw(t, "price") * 1_000_000
			r.Prices = append(r.Prices, price.Offer{FailureDomain: d, MachineClass: "m", Reclaimable: reclaimable, MicrosPerHour: micros})
			r.Current[o] = rapid.IntRange(0, 2).Draw(t, "held")
			r.Unavailable[o] = rapid.IntRange(0, 5).Draw(t, "refused") == 0
		}
	}
	return r
}

// check fails if a placement breaks a limit, which no gain in cost may override.
func check(t *rapid.T, r place.Request, target *place.Target) {
	reclaimable := 0
	for _, g := range target.Groups {
		if r.Unavailable[g.Option] && g.Count > r.Current[g.Option] {
			t.Fatalf("starts unavailable option %v", g.Option)
		}
		if g.Reclaimable {
			reclaimable += g.Count
		}
	}
	if want := target.Total() + target.Unplaced; float64(reclaimable) > float64(want)*r.Pool.ReclaimableShare+1e-6 {
		t.Fatalf("%d of %d are reclaimable", reclaimable, want)
	}
	if len(r.Unavailable) == 0 && target.Survivors < target.SurvivorsWanted {
		t.Fatalf("%d survivors, %d wanted", target.Survivors, target.SurvivorsWanted)
	}
}

// cheapest returns the least cost of all placements with the limits of Choose.
func cheapest(r place.Request, found *place.Target) float64 {
	total := found.Total()
	limit := 0
	for _, d := range r.Pool.FailureDomains {
		limit = max(limit, found.InDomain(d))
	}
	// Choose doesn't return its domain limit, which is at least what the found
	// placement uses.
	limit = max(limit, total-found.SurvivorsWanted)
	reclaimableLimit := int(float64(total)*r.Pool.ReclaimableShare + 1e-9)
	best := -1.0
	var options []place.Option
	for _, o := range r.Prices {
		options = append(options, place.Option{FailureDomain: o.FailureDomain, MachineClass: o.MachineClass, Reclaimable: o.Reclaimable})
	}
	counts := make([]int, len(options))
	var try func(i, left int)
	try = func(i, left int) {
		if i == len(options) {
			t := &place.Target{}
			reclaimable := 0
			for j, o := range options {
				t.Groups = append(t.Groups, place.Group{Option: o, Count: counts[j]})
				if o.Reclaimable {
					reclaimable += counts[j]
				}
			}
			for _, d := range r.Pool.FailureDomains {
				if t.InDomain(d) > limit {
					return
				}
			}
			if left > 0 || reclaimable > reclaimableLimit {
				return
			}
			if cost := place.ExpectedMicrosPerHour(t, r); best < 0 || cost < best {
				best = cost
			}
			return
		}
		for n := 0; n <= left; n++ {
			if r.Unavailable[options[i]] && n > r.Current[options[i]] {
				return
			}
			counts[i] = n
			try(i+1, left-n)
		}
		counts[i] = 0
	}
	try(0, total)
	return best
}

var _ = Describe("Choose", func() {
	It("keeps the limits and is as cheap as the cheapest of all placements", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := randomRequest(t)
			target := place.Choose(r)
			check(t, r, &target)
			if target.Unplaced > 0 {
				return
			}
			got, best := place.ExpectedMicrosPerHour(&target, r), cheapest(r, &target)
			if got > best+1 {
				t.Fatalf("costs %.0f, the cheapest %.0f: %+v", got, best, target)
			}
		})
	})

	It("leaves the wanted survivors when all options are available", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := randomRequest(t)
			r.Unavailable = nil
			target := place.Choose(r)
			check(t, r, &target)
			if target.Unplaced != 0 {
				t.Fatalf("%d replicas without an option", target.Unplaced)
			}
		})
	})

	It("does not replace a running instance for a small gain", func() {
		pool := &intent.Pool{Replicas: 1, FailureDomains: []string{"a"}, MachineClasses: []string{"m", "n"}, ReclaimableShare: 1}
		prices := price.List{
			{FailureDomain: "a", MachineClass: "m", MicrosPerHour: 100},
			{FailureDomain: "a", MachineClass: "n", MicrosPerHour: 95},
		}
		held := place.Option{FailureDomain: "a", MachineClass: "m"}
		target := place.Choose(place.Request{Pool: pool, Prices: prices, Current: map[place.Option]int{held: 1}})
		Expect(target.Count(held)).To(Equal(1))
		prices[1].MicrosPerHour = 80
		target = place.Choose(place.Request{Pool: pool, Prices: prices, Current: map[place.Option]int{held: 1}})
		Expect(target.Count(held)).To(BeZero())
	})
})
