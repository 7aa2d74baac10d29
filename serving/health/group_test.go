package health_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

func at(d time.Duration) clock.Instant { return clock.Instant(d) }

var _ = Describe("Group", func() {
	It("ejects a failing replica, and readmits it with one probe and a slow start", func() {
		g := health.NewGroup(health.Config{BaseEjectionTime: 4 * time.Second, SlowStart: 10 * time.Second})
		var r health.Record
		g.Add()
		g.Add()
		g.Failed(&r, 0)
		Expect(g.Weight(&r, 0)).To(Equal(1.0))
		g.Failed(&r, 0)
		Expect(g.Weight(&r, at(3*time.Second))).To(BeZero())
		Expect(g.Weight(&r, at(4*time.Second))).To(BeNumerically("~", 0.1, 0.01))
		g.Started(&r)
		Expect(g.Weight(&r, at(9*time.Second))).To(BeZero())
		g.Succeeded(&r)
		Expect(g.Weight(&r, at(9*time.Second))).To(BeNumerically("~", 0.55, 0.01))
		Expect(g.Weight(&r, at(14*time.Second))).To(Equal(1.0))
	})

	It("ejects for twice as long when the probe fails", func() {
		g := health.NewGroup(health.Config{BaseEjectionTime: 4 * time.Second})
		var r health.Record
		g.Add()
		g.Add()
		g.Failed(&r, 0)
		g.Failed(&r, 0)
		Expect(g.Weight(&r, at(5*time.Second))).To(BeNumerically(">", 0))
		g.Started(&r)
		g.Failed(&r, at(5*time.Second))
		Expect(g.Weight(&r, at(12*time.Second))).To(BeZero())
		Expect(g.Weight(&r, at(13*time.Second))).To(BeNumerically(">", 0))
	})
})

func TestNeverEjectsMoreThanMaxEjectedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		share := rapid.Float64Range(0.1, 1).Draw(t, "share")
		g := health.NewGroup(health.Config{MaxEjectedShare: share})
		records := make([]health.Record, n)
		for range records {
			g.Add()
		}
		var now clock.Instant
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			r := &records[rapid.IntRange(0, n-1).Draw(t, "replica")]
			if rapid.Bool().Draw(t, "fails") {
				g.Failed(r, now)
			} else {
				g.Succeeded(r)
			}
			out := 0
			for i := range records {
				if g.Weight(&records[i], now) == 0 {
					out++
				}
			}
			if float64(out) > share*float64(n) {
				t.Fatalf("%d of %d are ejected", out, n)
			}
		}
	})
}
