package place_test

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// onDemand holds the on-demand prices. Reclaimable instances cost 32, 38 and 44%
// of them in the first, second and third failure domain of a pool.
var onDemand = map[string]int64{"accelerator-large": 2_400_000, "accelerator-small": 1_100_000, "general": 120_000}

func example(member string) *intent.Document {
	text, err := os.ReadFile("../../docs/examples/" + member + ".json")
	Expect(err).NotTo(HaveOccurred())
	d := &intent.Document{}
	Expect(json.Unmarshal(text, d)).To(Succeed())
	return d
}

func pricesOf(pool *intent.Pool) price.List {
	var list price.List
	for i, domain := range pool.FailureDomains {
		for _, class := range pool.MachineClasses {
			full := onDemand[class]
			list = append(list,
				price.Offer{FailureDomain: domain, MachineClass: class, MicrosPerHour: full},
				price.Offer{FailureDomain: domain, MachineClass: class, Reclaimable: true, MicrosPerHour: full * int64(32+6*i) / 100})
		}
	}
	return list
}

// withoutSpread puts all replicas on the cheapest option.
func withoutSpread(r place.Request) place.Target {
	best := r.Prices[0]
	for _, o := range r.Prices {
		if o.MicrosPerHour < best.MicrosPerHour {
			best = o
		}
	}
	o := place.Option{FailureDomain: best.FailureDomain, MachineClass: best.MachineClass, Reclaimable: best.Reclaimable}
	return place.Target{Groups: []place.Group{{Option: o, Count: r.Pool.Replicas, MicrosPerHour: best.MicrosPerHour}}}
}

// The times of the simulated cloud and weight store.
const (
	bootTime   = 45 * time.Second
	loadTime   = 60 * time.Second
	maxLoading = 4
	notice     = 30 * time.Second
	planEvery  = time.Second
)

// restore simulates the reclaim of a failure domain. It returns the time until
// all instances of the target serve again, at most one hour, and the least
// number that served meanwhile. Refused tells which starts the cloud refuses.
func restore(r place.Request, lost string, refused func(place.Option) bool) (whole time.Duration, least int) {
	target := place.Choose(r)
	instances := map[string]*simulated{}
	for _, g := range target.Groups {
		for range g.Count {
			add(instances, g.Option, 0).serves = 1
		}
	}
	backoff := place.NewBackoff()
	start := clock.Instant(time.Hour)
	backoff.RecordReclaimWave(lost, start)
	least = len(instances)
	for now := start; ; now = now.Add(planEvery) {
		elapsed := now.Sub(start)
		serving := step(instances, now, elapsed, lost)
		least = min(least, serving)
		if elapsed > notice && serving >= target.Total() {
			return elapsed, least
		}
		if elapsed > time.Hour {
			return elapsed, least
		}
		list := listed(instances)
		r.Current = place.CountPoolByOption(list, "", "")
		r.Unavailable = backoff.Unavailable(place.Options(r.Pool, r.Prices), now)
		next := place.Choose(r)
		for _, o := range place.NextStep(&next, list).Starts {
			if refused(o) {
				backoff.RecordRefusal(o, now)
				continue
			}
			add(instances, o, now)
		}
	}
}

// simulated is an instance of the simulation with its progress.
type simulated struct {
	fleet.Instance
	started clock.Instant
	// loaded is when its weights are loaded; 0 until it starts to load them.
	loaded clock.Instant
	// serves is 1 once the weights are loaded.
	serves int
	// leaves is set when the notice of the reclaim has run out.
	leaves bool
}

func add(instances map[string]*simulated, o place.Option, now clock.Instant) *simulated {
	id := fmt.Sprintf("i-%d", len(instances))
	instances[id] = &simulated{started: now, Instance: fleet.Instance{
		ID: id, FailureDomain: o.FailureDomain, MachineClass: o.MachineClass, Reclaimable: o.Reclaimable, State: fleet.Live,
	}}
	return instances[id]
}

func listed(instances map[string]*simulated) []fleet.Instance {
	var list []fleet.Instance
	for _, s := range instances {
		i := s.Instance
		if s.serves == 0 {
			i.State = fleet.Starting
		}
		list = append(list, i)
	}
	return list
}

// step advances the simulation to now and counts the instances that serve. Those
// of the initial placement are recognized by a start time of 0.
func step(instances map[string]*simulated, now clock.Instant, elapsed time.Duration, lost string) int {
	serving, loading := 0, 0
	for _, s := range instances {
		if s.Reclaimable && s.FailureDomain == lost && s.started == 0 {
			s.State = fleet.Leaving
			s.leaves = elapsed >= notice
		}
		if s.loaded > 0 && s.serves == 0 {
			if now.Before(s.loaded) {
				loading++
			} else {
				s.serves = 1
			}
		}
	}
	for _, s := range instances {
		if s.serves == 0 && s.loaded == 0 && now.Sub(s.started) >= bootTime && loading < maxLoading {
			s.loaded = now.Add(loadTime)
			loading++
		}
		if s.serves == 1 && !s.leaves {
			serving++
		}
	}
	return serving
}

var _ = Describe("Figures", func() {
	never := func(place.Option) bool { return false }
	for _, member := range []string{"noranbus", "cooperative"} {
		It("cost and time to restore of "+member, func() {
			d := example(member)
			for i := range d.Pools {
				pool := &d.Pools[i]
				r := place.Request{Pool: pool, Prices: pricesOf(pool)}
				mixed := place.Choose(r)
				Expect(mixed.Survivors).To(BeNumerically(">=", mixed.SurvivorsWanted))
				fixed := *pool
				fixed.ReclaimableShare = 0
				dear := place.Choose(place.Request{Pool: &fixed, Prices: r.Prices})
				bare := withoutSpread(r)
				lost := largest(&mixed, pool)
				whole, least := restore(r, lost, never)
				full, _ := restore(r, lost, func(o place.Option) bool { return o.FailureDomain == lost })
				fmt.Fprintf(GinkgoWriter, "%s/%s: replicas %d, cost an hour %d micros (left %d of %d), on-demand only %d (left %d), reclaimable without spread %d (left 0); reclaim of %s: least serving %d, whole again after %v, after %v when that domain refuses starts\n",
					member, pool.Name, mixed.Total(), mixed.MicrosPerHour(), mixed.Survivors, mixed.Total(),
					dear.MicrosPerHour(), dear.Survivors, bare.MicrosPerHour(), lost, least, whole, full)
				Expect(mixed.MicrosPerHour()).To(BeNumerically("<", dear.MicrosPerHour()))
			}
		})
	}
})

// largest returns the failure domain with the most reclaimable instances.
func largest(t *place.Target, pool *intent.Pool) string {
	best, most := "", 0
	for _, domain := range pool.FailureDomains {
		count := 0
		for _, g := range t.Groups {
			if g.FailureDomain == domain && g.Reclaimable {
				count += g.Count
			}
		}
		if count > most {
			best, most = domain, count
		}
	}
	return best
}

var _ = It("Figures: time to choose a placement at the size of two years on", func() {
	pool := &intent.Pool{Replicas: 100, MachineClasses: []string{"accelerator-large", "accelerator-small"}, ReclaimableShare: 0.46}
	for i := range 10 {
		pool.FailureDomains = append(pool.FailureDomains, fmt.Sprintf("d%d", i))
	}
	r := place.Request{Pool: pool, Prices: pricesOf(pool)}
	const rounds = 5
	start := time.Now()
	for range rounds {
		target := place.Choose(r)
		Expect(target.Unplaced).To(BeZero())
	}
	fmt.Fprintf(GinkgoWriter, "100 replicas, 10 failure domains, 2 classes: %v for one placement\n", time.Since(start)/rounds)
})
