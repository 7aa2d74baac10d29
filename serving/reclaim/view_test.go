package reclaim_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/reclaim"
)

func TestReclaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reclaim")
}

const start = clock.Instant(time.Hour)

var _ = Describe("View", func() {
	soon := time.Unix(1000, 0)
	live := fleet.Instance{ID: "i-1", State: fleet.Live}

	It("applies a notice once, whether it comes before or after the list", func() {
		early := reclaim.NewView()
		Expect(early.AddNotice(reclaim.Notice{Instance: "i-1", Ends: soon}, start)).To(BeTrue())
		early.Update([]fleet.Instance{live}, start, soon)
		late := reclaim.NewView()
		late.Update([]fleet.Instance{live}, start, soon)
		Expect(late.AddNotice(reclaim.Notice{Instance: "i-1", Ends: soon}, start)).To(BeTrue())
		Expect(late.AddNotice(reclaim.Notice{Instance: "i-1", Ends: soon}, start)).To(BeFalse())
		Expect(early.Instances()).To(Equal(late.Instances()))
		Expect(early.Instances()).To(ConsistOf(And(HaveField("State", fleet.Leaving), HaveField("Ends", soon))))
	})

	It("keeps a started instance that is not listed until the start timeout", func() {
		v := reclaim.NewView()
		v.AddStarted(fleet.Instance{ID: "i-1", State: fleet.Starting}, start)
		v.Update(nil, start.Add(time.Minute), soon)
		Expect(v.Instances()).To(HaveLen(1))
		v.Update(nil, start.Add(10*time.Minute), soon)
		Expect(v.Instances()).To(BeEmpty())
	})

	It("drops an unlisted instance as soon as its announced end has passed", func() {
		v := reclaim.NewView()
		v.Update([]fleet.Instance{live}, start, soon.Add(-time.Minute))
		v.AddNotice(reclaim.Notice{Instance: "i-1", Ends: soon}, start)
		v.Update(nil, start.Add(time.Second), soon.Add(-time.Second))
		Expect(v.Instances()).To(HaveLen(1))
		v.Update(nil, start.Add(3*time.Second), soon.Add(time.Second))
		Expect(v.Instances()).To(BeEmpty())
	})

	It("never moves an instance back to an earlier state, whatever the list shows", func() {
		states := []fleet.State{fleet.Starting, fleet.Live, fleet.Leaving}
		rank := map[fleet.State]int{fleet.Starting: 0, fleet.Live: 1, fleet.Leaving: 2}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := reclaim.NewView()
			last := 0
			for range 30 {
				if rapid.IntRange(0, 4).Draw(t, "notice") == 0 {
					v.AddNotice(reclaim.Notice{Instance: "i-1"}, start)
				} else {
					v.Update([]fleet.Instance{{ID: "i-1", State: rapid.SampledFrom(states).Draw(t, "state")}}, start, soon)
				}
				if i, ok := v.Find("i-1"); ok {
					if rank[i.State] < last {
						t.Fatalf("%s after rank %d", i.State, last)
					}
					last = rank[i.State]
				}
			}
		})
	})
})

var _ = Describe("WaveDetector", func() {
	It("distinguishes a wave from single reclaims", func() {
		w := reclaim.NewWaveDetector()
		Expect(w.AddNotice("seoul-a", 4, start)).To(BeFalse())
		Expect(w.AddNotice("seoul-a", 4, start.Add(2*time.Minute))).To(BeFalse())
		Expect(w.AddNotice("seoul-b", 4, start.Add(2*time.Minute))).To(BeFalse())
		Expect(w.AddNotice("seoul-a", 4, start.Add(2*time.Minute+time.Second))).To(BeTrue())
	})
})
