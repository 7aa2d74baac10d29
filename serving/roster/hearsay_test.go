package roster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

// Guards against a gateway that starts on a restored store and uses upstreams which the others
// know to have left (review/14), and against one that never uses them again.
var _ = Describe("Roster of a gateway that starts on a restored store", func() {
	const born = 7
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }
	list := func(started int64) map[string]*catalog.Upstream {
		m := make(map[string]*catalog.Upstream)
		for _, id := range []string{"stays", "removed", "leaving"} {
			m[id] = &catalog.Upstream{ID: id, StartedAtMillis: started}
		}
		return m
	}
	// knows returns a roster that has seen one upstream leave and another one go.
	knows := func(started int64) *roster.Roster {
		r := roster.New(2 * time.Second)
		r.Replace(list(started), at(0))
		r.Set(&catalog.Upstream{ID: "leaving", StartedAtMillis: started, Draining: true})
		r.Remove("removed", at(0))
		return r
	}
	usable := func(r *roster.Roster, now clock.Instant) (names []string) {
		for _, u := range r.Usable(now) {
			names = append(names, u.ID)
		}
		return names
	}

	DescribeTable("uses none that others know to have left, before and after its first list", func(started int64, isRestored, hasList bool) {
		other := knows(started)
		if isRestored {
			other.Restore(list(started), at(time.Second), at(time.Second))
		}
		r := roster.New(2 * time.Second)
		if hasList {
			r.Replace(list(started), at(time.Second))
		}
		r.Hear(other.Former(!isRestored), at(time.Second))
		if !hasList {
			r.Replace(list(started), at(time.Second))
		}
		Expect(usable(r, at(10*time.Second))).To(ConsistOf("stays"))
		// By then what was lost has been written again.
		if started == 0 {
			Expect(usable(r, at(11*time.Second))).To(ConsistOf("stays", "removed", "leaving"))
		}
		r.Set(&catalog.Upstream{ID: "removed", StartedAtMillis: started, Slots: 9})
		r.Set(&catalog.Upstream{ID: "leaving", StartedAtMillis: started + 1})
		Expect(usable(r, at(11*time.Second))).To(ConsistOf("stays", "removed", "leaving"))
	},
		Entry("told by one that has not noticed the restore", int64(born), false, false),
		Entry("the same, after the list", int64(born), false, true),
		Entry("told by one that has", int64(born), true, false),
		Entry("the same, after the list", int64(born), true, true),
		Entry("without start times", int64(0), false, false),
		Entry("without start times, after the list", int64(0), true, true),
	)

	It("hears nothing of upstreams that have come back since, and uses others as before", func() {
		other := knows(born)
		other.Restore(list(born), at(time.Second), at(time.Second))
		other.Set(&catalog.Upstream{ID: "removed", StartedAtMillis: born, Slots: 9})
		Expect(other.Former(false).Departed).To(BeEmpty())
		r := roster.New(2 * time.Second)
		Expect(r.Hear(roster.Former{}, at(0))).To(BeFalse())
		r.Replace(list(born), at(0))
		Expect(usable(r, at(0))).To(HaveLen(3))
	})
})
