package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

const (
	service  = "s"
	common   = uint64(1)
	session  = uint64(2)
	crashing = uint64(3)
)

// prompt returns parts in the order of a prompt.
func prompt(ids ...uint64) []quarantine.Part {
	list := make([]quarantine.Part, 0, len(ids))
	for i, id := range ids {
		list = append(list, quarantine.Part{ID: id, Depth: i})
	}
	return list
}

// isSent reports whether a request that is not let through as a probe may be sent.
func isSent(t *quarantine.Tracker, now clock.Instant, ids ...uint64) bool {
	_, ok := t.Check(prompt(ids...), false, now)
	return ok
}

var _ = Describe("Tracker", func() {
	var t *quarantine.Tracker
	now := clock.Instant(time.Hour)
	// others lets prompts without the crashing part succeed.
	others := func(n int) {
		for range n {
			t.Succeeded(service, prompt(common, 99), now)
		}
	}
	crash := func(upstream uint64, ids ...uint64) {
		t.Crashed(service, upstream, prompt(ids...), now)
		others(20)
		now = now.Add(time.Second)
	}
	BeforeEach(func() {
		t = quarantine.NewTracker()
		now = clock.Instant(time.Hour)
	})

	It("quarantines a part after crashes of three upstreams, and nothing that was with it", func() {
		crash(1, common, session, crashing)
		crash(2, common, session, crashing)
		Expect(isSent(t, now, common, session, crashing)).To(BeTrue())
		crash(3, common, session, crashing)
		Expect(isSent(t, now, common, session, crashing)).To(BeFalse())
		Expect(isSent(t, now, common, session)).To(BeTrue())
		Expect(t.Quarantined(now)).To(HaveKey(crashing))
		Expect(t.Quarantined(now)).To(HaveLen(1))
	})

	It("counts an upstream once, however many requests broke off there", func() {
		for range 10 {
			crash(1, common, session, crashing)
		}
		Expect(isSent(t, now, common, session, crashing)).To(BeTrue())
	})

	It("finds the part that the crashes have in common if it is not the deepest one", func() {
		crash(1, common, session, 10)
		crash(2, common, session, 10)
		crash(3, common, session, 10)
		crash(4, common, session, 11)
		crash(5, common, session, 12)
		crash(6, common, session, 13)
		Expect(isSent(t, now, common, session)).To(BeFalse())
		Expect(isSent(t, now, common, 50)).To(BeTrue())
	})

	It("clears a part that is answered", func() {
		crash(1, common, crashing)
		crash(2, common, crashing)
		t.Succeeded(service, prompt(common, crashing), now)
		crash(3, common, crashing)
		crash(4, common, crashing)
		Expect(isSent(t, now, common, crashing)).To(BeTrue())
	})

	It("suspects no part while no other prompts succeed", func() {
		for upstream := range uint64(10) {
			t.Crashed(service, upstream, prompt(common, crashing), now)
			t.Crashed(service, upstream, prompt(common, 50+upstream), now)
		}
		Expect(t.Quarantined(now)).To(BeEmpty())
	})

	It("lets single requests through as a probe when the time is over, and waits longer after another crash", func() {
		for upstream := range uint64(3) {
			crash(upstream, common, crashing)
		}
		left := t.Quarantined(now)[crashing]
		now = now.Add(left)
		Expect(isSent(t, now, common, crashing)).To(BeFalse())
		_, ok := t.Check(prompt(common, crashing), true, now)
		Expect(ok).To(BeTrue())
		now = now.Add(time.Second)
		_, ok = t.Check(prompt(common, crashing), true, now)
		Expect(ok).To(BeFalse())
		crash(77, common, crashing)
		Expect(t.Quarantined(now)[crashing]).To(BeNumerically(">", left))
	})

	It("releases a part that is answered as a probe", func() {
		for upstream := range uint64(3) {
			crash(upstream, common, crashing)
		}
		now = now.Add(t.Quarantined(now)[crashing])
		_, ok := t.Check(prompt(common, crashing), true, now)
		Expect(ok).To(BeTrue())
		now = now.Add(time.Second)
		t.Succeeded(service, prompt(common, crashing), now)
		Expect(isSent(t, now, common, crashing)).To(BeTrue())
	})

	It("takes evidence over from before its own start", func() {
		for upstream := range uint64(3) {
			crash(upstream, common, crashing)
		}
		restarted := quarantine.NewTracker()
		const sinceStart = clock.Instant(time.Millisecond)
		var list []quarantine.Evidence
		for _, e := range t.Evidence(now) {
			list = append(list, e.Shift(sinceStart.Sub(now)))
		}
		restarted.Merge(list, sinceStart)
		Expect(isSent(restarted, sinceStart, common, crashing)).To(BeFalse())
		Expect(isSent(restarted, sinceStart, common, session)).To(BeTrue())
	})

	It("learns from others that a part was answered", func() {
		other := quarantine.NewTracker()
		other.Succeeded(service, prompt(common, crashing), now.Add(10*time.Second))
		for upstream := range uint64(3) {
			crash(upstream, common, crashing)
		}
		now = now.Add(10 * time.Second)
		other.Merge(t.Evidence(now), now)
		Expect(isSent(other, now, common, crashing)).To(BeTrue())
		t.Merge(other.Evidence(now), now)
		Expect(isSent(t, now, common, crashing)).To(BeTrue())
	})
})
