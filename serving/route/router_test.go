package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var _ = Describe("Router", func() {
	job := route.Job{Pool: "p", Model: "m", PromptTokens: 100}

	newRouter := func() *route.Router {
		r := route.New(route.Config{})
		for _, id := range []string{"a", "b"} {
			r.Upsert(route.Replica{ID: id, Pool: "p", Model: "m", State: fleet.Live})
		}
		return r
	}

	It("avoids a slow replica, and tries it again once the observation is old", func() {
		r := newRouter()
		observe := func(avoid string, after time.Duration) {
			other := job
			other.Avoid = []string{avoid}
			c, err := r.Choose(other, 1)
			Expect(err).NotTo(HaveOccurred())
			r.Started(&c, job, 1)
			r.FirstToken(&c, after, 1)
			r.Finished(&c, 1)
		}
		observe("a", 40*time.Millisecond)
		observe("b", time.Second)
		chosen := func(now clock.Instant) map[string]int {
			counts := map[string]int{}
			for range 50 {
				c, err := r.Choose(job, now)
				Expect(err).NotTo(HaveOccurred())
				counts[c.ID]++
			}
			return counts
		}
		Expect(chosen(1)).NotTo(HaveKey("a"))
		Expect(chosen(clock.Instant(time.Minute))).To(HaveKey("a"))
	})

	It("prefers the replica that holds the prefix, until its cache is cleared", func() {
		r := newRouter()
		cached := route.Job{Pool: "p", Model: "m", PromptBlocks: []uint64{1, 2, 3, 4, 5, 6, 7, 8}, PromptTokens: 600}
		r.ReportCache("b", 1, route.CacheEvent{Sequence: 1, Kind: route.CacheStored, Blocks: cached.PromptBlocks})
		for range 20 {
			c, err := r.Choose(cached, 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.ID).To(Equal("b"))
			Expect(c.CachedTokens).To(Equal(512))
		}
		r.ReportCache("b", 3, route.CacheEvent{Sequence: 2, Kind: route.CacheCleared})
		c, err := r.Choose(cached, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.CachedTokens).To(BeZero())
	})
})
