package scale_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

func TestScale(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scale")
}

// market fulfils orders at once.
type market struct {
	counts map[string]int // by failure domain and kind
	dry    bool           // refuses orders for more upstreams
}

func key(domain string, reclaimable bool) string {
	if reclaimable {
		return domain + "/reclaimable"
	}
	return domain
}

func (m *market) upstreams() []*catalog.Upstream {
	var list []*catalog.Upstream
	for _, domain := range []string{"x", "y", "z"} {
		for _, reclaimable := range []bool{false, true} {
			for range m.counts[key(domain, reclaimable)] {
				list = append(list, &catalog.Upstream{Service: "s", FailureDomain: domain, Reclaimable: reclaimable})
			}
		}
	}
	return list
}

func (m *market) total(reclaimable bool) int {
	n := 0
	for _, domain := range []string{"x", "y", "z"} {
		n += m.counts[key(domain, reclaimable)]
	}
	return n
}

var _ = Describe("Planner", func() {
	service := &catalog.Service{
		Name: "s", Engine: &catalog.Engine{Slots: 64},
		Autoscaling: &catalog.Autoscaling{Min: 1, Max: 6, BootTime: 4 * time.Second, ReclaimablePrice: 0.2, OnDemandPrices: map[string]float64{"x": 1, "y": 2, "z": 3}},
	}
	var (
		m   *market
		p   *scale.Planner
		now clock.Instant
	)
	BeforeEach(func() {
		m = &market{counts: map[string]int{"x": 3, "y": 3, "z": 3}}
		p = scale.NewPlanner()
		now = clock.Instant(time.Hour)
	})
	run := func(load scale.Load, seconds int) (orders int) {
		for range seconds {
			now = now.Add(time.Second)
			for _, o := range p.Plan(service, m.upstreams(), load, now) {
				orders++
				ExpectWithOffset(1, o.Count).To(BeNumerically(">=", 0))
				more := o.Count > m.counts[key(o.FailureDomain, o.Reclaimable)]
				if m.dry && more {
					p.Refused(o, now)
					continue
				}
				m.counts[key(o.FailureDomain, o.Reclaimable)] = o.Count
				both := m.counts[key(o.FailureDomain, false)] + m.counts[key(o.FailureDomain, true)]
				ExpectWithOffset(1, both).To(BeNumerically("<=", service.Autoscaling.Max))
			}
		}
		return orders
	}

	It("scales on-demand upstreams down before the load is known, once all have registered", func() {
		Expect(run(scale.Load{}, 3)).To(BeNumerically("<=", 6))
		Expect(m.total(false)).To(Equal(9))
		run(scale.Load{}, 30)
		Expect(m.total(false)).To(BeNumerically("<", 9))
		Expect(m.total(false) + m.total(true)).To(BeNumerically(">=", 9))
	})

	It("orders no on-demand upstreams while none have registered", func() {
		for range 10 {
			now = now.Add(time.Second)
			for _, o := range p.Plan(service, nil, scale.Load{}, now) {
				Expect(o.Reclaimable).To(BeTrue())
			}
		}
	})

	It("keeps more on-demand upstreams while there are no reclaimable ones", func() {
		load := scale.Load{Open: 60, PromptTokenRate: 150_000}
		run(load, 60)
		with := m.total(false)
		m.counts["x/reclaimable"], m.counts["y/reclaimable"], m.counts["z/reclaimable"] = 0, 0, 0
		m.dry = true
		m.counts["x"], m.counts["y"], m.counts["z"] = 3, 3, 3
		run(load, 60)
		Expect(m.total(false)).To(BeNumerically(">", with))
	})

	It("scales down in steps and up at once", func() {
		run(scale.Load{Open: 40, PromptTokenRate: 60_000}, 60)
		Expect(m.total(false)).To(BeNumerically("<", 9))
		Expect(m.total(false)).To(BeNumerically(">=", 3))
		Expect(m.total(true)).To(BeNumerically(">", 0))
		before := m.total(false)
		run(scale.Load{Open: 200, PromptTokenRate: 250_000}, 5)
		Expect(m.total(false)).To(BeNumerically(">", before))
	})

	It("does not scale down at once as a new lease holder, while the gateways may have just started", func() {
		run(scale.Load{Open: 60, PromptTokenRate: 300_000}, 60)
		before, reclaimable := m.total(false), m.total(true)
		p = scale.NewPlanner()
		run(scale.Load{Open: 2, PromptTokenRate: 3_000}, 4)
		Expect(m.total(false)).To(Equal(before))
		Expect(m.total(true)).To(Equal(reclaimable))
		run(scale.Load{Open: 2, PromptTokenRate: 3_000}, 60)
		Expect(m.total(false)).To(BeNumerically("<", before))
		Expect(m.total(true)).To(BeNumerically("<", reclaimable))
	})

	It("does not scale down during the warm-up after the first load", func() {
		run(scale.Load{}, 10)
		before := m.total(false) + m.total(true)
		run(scale.Load{Open: 4, PromptTokenRate: 20_000}, 7)
		Expect(m.total(false) + m.total(true)).To(Equal(before))
		run(scale.Load{Open: 4, PromptTokenRate: 20_000}, 60)
		Expect(m.total(false) + m.total(true)).To(BeNumerically("<", before))
	})

	It("does not scale on-demand upstreams down while reclaimable ones are short", func() {
		run(scale.Load{Open: 150, PromptTokenRate: 300_000}, 60)
		before := m.total(false)
		m.counts["x/reclaimable"], m.counts["y/reclaimable"], m.dry = 0, 0, true
		run(scale.Load{Open: 20, PromptTokenRate: 60_000}, 30)
		Expect(m.total(false)).To(BeNumerically(">=", before))
		m.dry = false
		run(scale.Load{Open: 20, PromptTokenRate: 60_000}, 60)
		Expect(m.total(false)).To(BeNumerically("<", before))
	})

	It("places no further orders under a steady load", func() {
		run(scale.Load{Open: 40, PromptTokenRate: 60_000}, 60)
		Expect(run(scale.Load{Open: 40, PromptTokenRate: 60_000}, 60)).To(BeZero())
	})

	It("reorders reclaimed upstreams, and repeats refused orders", func() {
		run(scale.Load{Open: 40, PromptTokenRate: 60_000}, 60)
		had := m.counts["x/reclaimable"]
		m.counts["x/reclaimable"] = 0
		m.dry = true
		Expect(run(scale.Load{Open: 40, PromptTokenRate: 60_000}, 20)).To(BeNumerically(">", 2))
		Expect(m.counts["x/reclaimable"]).To(BeZero())
		m.dry = false
		run(scale.Load{Open: 40, PromptTokenRate: 60_000}, 5)
		Expect(m.counts["x/reclaimable"]).To(Equal(had))
	})

	It("needs fewer on-demand upstreams with more failure domains, which are not all reclaimed at once", func() {
		onDemand := func(domains int) (wanted int) {
			prices := make(map[string]float64)
			var upstreams []*catalog.Upstream
			for d := range domains {
				name := string(rune('a' + d))
				prices[name] = 1
				for range 60 / domains {
					upstreams = append(upstreams, &catalog.Upstream{Service: "s", FailureDomain: name, Reclaimable: true})
				}
			}
			wide := *service
			scaling := *service.Autoscaling
			scaling.Max, scaling.OnDemandPrices = 100, prices
			wide.Autoscaling = &scaling
			for _, o := range scale.NewPlanner().Plan(&wide, upstreams, scale.Load{Open: 800, PromptTokenRate: 700_000}, now) {
				if !o.Reclaimable {
					wanted += o.Count
				}
			}
			return wanted
		}
		Expect(onDemand(2)).To(BeNumerically(">=", onDemand(3)))
		Expect(onDemand(5)).To(BeNumerically("<=", 6*onDemand(3)/10))
		Expect(onDemand(10)).To(BeNumerically(">=", onDemand(5)-5))
	})

	It("replaces reclaimable upstreams by on-demand ones as soon as they are about to leave", func() {
		load := scale.Load{Open: 40, PromptTokenRate: 200_000}
		run(load, 60)
		before, leaving := m.total(false)+m.total(true), m.counts["x/reclaimable"]+m.counts["y/reclaimable"]
		m.dry = true
		upstreams := m.upstreams()
		for _, u := range upstreams {
			u.Draining = u.Reclaimable && u.FailureDomain != "z"
		}
		now = now.Add(time.Second)
		ordered := 0
		for _, o := range p.Plan(service, upstreams, load, now) {
			if !o.Reclaimable {
				ordered += o.Count - o.Have
			}
		}
		Expect(before-leaving+ordered).To(BeNumerically(">=", 6), "for a load that keeps four busy")
	})

	It("needs fewer upstreams if they read faster", func() {
		load := scale.Load{Open: 40, PromptTokenRate: 120_000}
		run(load, 60)
		before := m.total(true)
		p.SetReadRate("s", 110_000)
		run(load, 60)
		Expect(m.total(true)).To(BeNumerically("<=", before*3/4))
	})

	It("grows by a fraction of what exists, so that a large service follows a burst", func() {
		m.counts = map[string]int{"x": 40, "y": 40, "z": 40}
		large := *service
		scaling := *service.Autoscaling
		scaling.Max = 100
		large.Autoscaling = &scaling
		step := func(load scale.Load) (ordered int) {
			now = now.Add(time.Second)
			for _, o := range p.Plan(&large, m.upstreams(), load, now) {
				ordered += o.Count - o.Have
			}
			return ordered
		}
		step(scale.Load{})
		now = now.Add(time.Minute)
		Expect(step(scale.Load{Open: 4000, PromptTokenRate: 6_000_000})).To(BeNumerically(">=", 60))
	})

	It("places no orders for a service without scaling", func() {
		Expect(p.Plan(&catalog.Service{Name: "s"}, m.upstreams(), scale.Load{Open: 1}, now)).To(BeEmpty())
	})
})
