package roster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

// Guards against requests to upstreams that had left before the store was restored from a
// copy in which they are ready (DRAIN), and against none to sound ones.
var _ = Describe("Roster over a store that is restored from an older copy", func() {
	const grace, rewritten, born = 2 * time.Second, 10 * time.Second, 7
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }
	ready := func(id string, started int64) *catalog.Upstream {
		return &catalog.Upstream{ID: id, StartedAtMillis: started}
	}
	leaving := func(id string, started int64) *catalog.Upstream {
		return &catalog.Upstream{ID: id, StartedAtMillis: started, Draining: true}
	}
	list := func(upstreams ...*catalog.Upstream) map[string]*catalog.Upstream {
		m := make(map[string]*catalog.Upstream)
		for _, u := range upstreams {
			m[u.ID] = u
		}
		return m
	}
	var r *roster.Roster
	usable := func(now clock.Instant) []string {
		names := []string{}
		for _, u := range r.Usable(now) {
			names = append(names, u.ID)
		}
		return names
	}
	restore := func(m map[string]*catalog.Upstream, now clock.Instant) roster.Restored { return r.Restore(m, now, now) }
	BeforeEach(func() {
		r = roster.New(grace)
		r.Replace(list(ready("a", born), ready("b", born)), at(0))
	})

	It("keeps an upstream leaving that the copy calls ready, until it starts anew", func() {
		r.Set(leaving("b", born))
		restored := restore(list(ready("a", born), ready("b", born)), at(time.Second))
		Expect(restored.Leaving).To(ConsistOf(roster.Incarnation{ID: "b", StartedAtMillis: born}))
		Expect(usable(at(time.Minute))).To(ConsistOf("a"))
		r.Replace(list(ready("a", born), ready("b", born)), at(time.Minute))
		Expect(usable(at(time.Minute))).To(ConsistOf("a"))
		r.Set(ready("b", born+1))
		Expect(usable(at(time.Minute))).To(ConsistOf("a", "b"))
	})

	It("keeps one leaving that was removed since", func() {
		r.Set(leaving("b", born))
		r.Remove("b", at(time.Second))
		Expect(restore(list(ready("a", born), ready("b", born)), at(2*time.Second)).Leaving).To(HaveLen(1))
		Expect(usable(at(time.Minute))).To(ConsistOf("a"))
	})

	It("withholds one that was removed until the restored store has a change of it", func() {
		r.Remove("b", at(time.Second))
		restored := restore(list(ready("a", born), ready("b", born)), at(2*time.Second))
		Expect(restored.Withheld).To(Equal(1))
		Expect(usable(at(3 * time.Second))).To(ConsistOf("a"))
		// The whole table is listed again, with the same row.
		r.Replace(list(ready("a", born), ready("b", born)), at(3*time.Second))
		Expect(usable(at(3 * time.Second))).To(ConsistOf("a"))
		r.Set(ready("b", born))
		Expect(usable(at(3 * time.Second))).To(ConsistOf("a", "b"))
	})

	It("believes the copy once others have had the time to write again", func() {
		r.Remove("b", at(time.Second))
		restore(list(ready("a", born), ready("b", born)), at(2*time.Second))
		next, ok := r.NextExpiry()
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(at(2*time.Second + rewritten)))
		Expect(usable(next - 1)).To(ConsistOf("a"))
		Expect(usable(next)).To(ConsistOf("a", "b"))
	})

	// Guards against sound upstreams that get no requests: that a copy lacks an entry does not
	// tell that it has ended, however late the list is read or the entry written again.
	DescribeTable("uses one that a copy lacked and that the next one has", func(read time.Duration, started int64) {
		r = roster.New(grace)
		r.Replace(list(ready("a", started)), at(0))
		r.Restore(list(), at(time.Second), at(time.Second+read))
		Expect(usable(at(2 * rewritten))).To(BeEmpty())
		Expect(r.Former(true).Departed).To(BeEmpty())
		Expect(restore(list(ready("a", started)), at(2*rewritten)).Withheld).To(BeZero())
		Expect(usable(at(2 * rewritten))).To(ConsistOf("a"))
	},
		Entry("a list read at once", time.Millisecond, int64(born)),
		Entry("a list read late, as by a process that was frozen", 2*grace, int64(born)),
		Entry("an upstream that does not tell when it started", 2*grace, int64(0)),
	)

	It("withholds one that a copy lacked and that was removed in that timeline", func() {
		restore(list(ready("a", born)), at(time.Second))
		r.Remove("b", at(2*time.Second))
		Expect(usable(at(rewritten))).To(ConsistOf("a"))
		restore(list(ready("a", born), ready("b", born)), at(rewritten))
		Expect(usable(at(rewritten))).To(ConsistOf("a"))
	})

	It("withholds one that was leaving and whose start is not known", func() {
		r.Set(ready("c", 0))
		r.Set(leaving("c", 0))
		Expect(restore(list(ready("a", born), ready("c", 0)), at(time.Second)).Withheld).To(Equal(1))
		Expect(usable(at(4 * time.Second))).To(ConsistOf("a"))
		r.Set(ready("c", 0))
		Expect(usable(at(4 * time.Second))).To(ConsistOf("a", "c"))
	})

	It("uses at once one that starts anew, and one that was removed and came back before", func() {
		r.Remove("a", at(time.Second))
		r.Remove("b", at(time.Second))
		r.Set(ready("b", born))
		restore(list(ready("a", born+1), ready("b", born), ready("c", born)), at(2*time.Second))
		Expect(usable(at(2 * time.Second))).To(ConsistOf("a", "b", "c"))
	})

	It("keeps one that the copy lacks for the grace period, however short the store was away", func() {
		r.SetMinOutage(5 * time.Second)
		Expect(restore(list(ready("a", born)), at(time.Second)).Lapsed).To(Equal(1))
		Expect(usable(at(2 * time.Second))).To(ConsistOf("a", "b"))
		Expect(usable(at(3 * time.Second))).To(ConsistOf("a"))
		// Nothing tells that it has ended, so a second restore brings it back.
		Expect(restore(list(ready("a", born), ready("b", born)), at(4*time.Second)).Withheld).To(BeZero())
		Expect(usable(at(4 * time.Second))).To(ConsistOf("a", "b"))
	})

	It("counts the grace period from when the store was back, not from the list", func() {
		r.Restore(list(ready("a", born)), at(0), at(time.Second))
		Expect(usable(at(2*time.Second - 1))).To(ConsistOf("a", "b"))
		Expect(usable(at(2 * time.Second))).To(ConsistOf("a"))
	})

	It("drops one that is leaving and that the copy lacks", func() {
		r.Set(leaving("b", born))
		restore(list(ready("a", born)), at(time.Second))
		Expect(usable(at(time.Second))).To(ConsistOf("a"))
	})

	It("takes a removal of a withheld one over", func() {
		r.Remove("b", at(time.Second))
		restore(list(ready("a", born), ready("b", born)), at(2*time.Second))
		r.Remove("b", at(3*time.Second))
		Expect(usable(at(time.Minute))).To(ConsistOf("a"))
	})

	It("remembers removals no longer than copies are old", func() {
		r.Remove("b", at(0))
		Expect(restore(list(ready("a", born), ready("b", born)), at(5*time.Minute)).Withheld).To(BeZero())
	})
})
