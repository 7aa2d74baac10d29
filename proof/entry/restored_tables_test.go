package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

const (
	// effectTime is the time within which a change that the store has acknowledged has
	// taken effect everywhere: the propagation limit of the site.
	effectTime = 2 * time.Second
	// lateTime is how long after that late requests are looked for.
	lateTime = 3 * time.Second
	// tableAway is how long the store is away in a drill.
	tableAway = 300 * time.Millisecond
	// knownTime is the time in which all gateways learn a change, or a version without one,
	// while the store is sound.
	knownTime = effectTime
	// rewriteSlow is within the time in which upstreams that live have written again.
	rewriteSlow = time.Second
	// fastVersions is by how much the versions of the store rise that the copy lacks.
	fastVersions = 2000
)

// raiseVersions makes the versions of the store rise by writes to another table.
func (d *drillSite) raiseVersions() {
	posted(d.store, func() {
		for range fastVersions {
			d.store.Put("other", "x", nil)
		}
	})
}

// sentTo returns when the requests were sent that an upstream has run, in the order in
// which it ran them.
func (d *drillSite) sentTo(id string) (list []time.Time) {
	r := d.replicas[id]
	posted(r, func() {
		for _, run := range r.Runs() {
			nanos, err := strconv.ParseInt(run.ID, 16, 64)
			Expect(err).NotTo(HaveOccurred())
			list = append(list, time.Unix(0, nanos))
		}
	})
	return list
}

// late returns how long after an instant the requests were sent that an upstream has run
// since then.
func (d *drillSite) late(id string, since time.Time) (list []time.Duration) {
	for _, sent := range d.sentTo(id) {
		if after := sent.Sub(since); after > 0 {
			list = append(list, after)
		}
	}
	return list
}

func (d *drillSite) remove(id string) {
	posted(d.store, func() { operator.RemoveUpstream(d.store, id) })
}

// isUsed waits until an upstream gets requests.
func (d *drillSite) isUsed(id string) {
	Eventually(func() []time.Time { return d.sentTo(id) }, "5s", "20ms").ShouldNot(BeEmpty())
}

// restore restores the store to an instant and waits until others have written again.
func (d *drillSite) restore(copiedAt clock.Instant, era uint64) {
	d.startDrill(copiedAt, tableAway)
	d.awaitBack(era)
	time.Sleep(rewriteDelay)
}

// expectEffect expects that an upstream which has just left gets no request after
// effectTime, and that another one does.
func (d *drillSite) expectEffect(left, stays string) {
	at := time.Now()
	time.Sleep(effectTime + lateTime)
	Expect(d.late(left, at.Add(effectTime))).To(BeEmpty(), "requests to an upstream that has left, since the time for that")
	Expect(d.late(stays, at.Add(effectTime))).NotTo(BeEmpty())
}

// Guards against requests to upstreams that have left (DRAIN), and to none of the new
// ones, after the store came back from an older copy: its lists counted as old, and its
// changes went on from versions that it had given out again.
var _ = Describe("Upstreams over a store that is restored from an older copy", func() {
	var d *drillSite
	var copied clock.Instant
	BeforeEach(func() {
		d = startDrillSite(true)
		d.upstream("app", replica.Config{ID: "b"})
		d.isUsed("b")
		copied = d.now()
	})

	It("get no request after they have left in the restored store, however fast versions had risen", func() {
		d.raiseVersions()
		time.Sleep(knownTime)
		d.restore(copied, 1)
		d.register("app", "b", operator.Draining)
		d.expectEffect("b", "a")
	})

	It("get no request after they were removed in the restored store, however fast versions had risen", func() {
		d.raiseVersions()
		time.Sleep(knownTime)
		d.restore(copied, 1)
		d.remove("b")
		d.expectEffect("b", "a")
	})

	It("get no request after they have left in a store that was restored twice", func() {
		d.raiseVersions()
		time.Sleep(knownTime)
		d.restore(copied, 1)
		d.restore(copied, 2)
		d.register("app", "b", operator.Draining)
		d.expectEffect("b", "a")
	})

	It("get no request after they have left since the gateways started anew while the store was away", func() {
		d.raiseVersions()
		d.startDrill(copied, tableAway)
		for _, g := range d.gateways {
			g.close()
		}
		for i := 5; i <= 8; i++ {
			d.load(d.startUnready(fmt.Sprintf("g%d", i)), time.Duration(i)*15*time.Millisecond)
		}
		d.awaitBack(1)
		time.Sleep(knownTime)
		d.register("app", "b", operator.Draining)
		d.expectEffect("b", "a")
	})

	It("get requests in time if they are new in the restored store", func() {
		d.raiseVersions()
		time.Sleep(knownTime)
		d.restore(copied, 1)
		d.upstream("app", replica.Config{ID: "c"})
		at := time.Now()
		time.Sleep(effectTime + lateTime)
		Expect(d.late("c", at)).NotTo(BeEmpty())
		Expect(d.late("c", at)[0]).To(BeNumerically("<=", effectTime))
	})

	It("get requests all the while if they are the only one and the copy lacks them", func() {
		d.upstream("llm", replica.Config{ID: "only", Events: 2})
		time.Sleep(knownTime)
		d.startSlowDrill(copied, tableAway, rewriteSlow)
		var g *gateway
		for _, g = range d.gateways {
			break
		}
		for end := time.Now().Add(effectTime + rewriteSlow); time.Now().Before(end); {
			Expect(g.ask("POST", "/single/x", "key", "b").status).To(Equal(http.StatusOK))
		}
	})
})

// Guards against requests to upstreams that had left or were removed before the store was
// restored, and are ready in the copy until they have written again.
var _ = Describe("Upstreams that have left and are ready in the copy from which the store is restored", func() {
	const rewriteLate = 3 * time.Second
	var d *drillSite
	var copied clock.Instant
	BeforeEach(func() {
		d = startDrillSite(true)
		d.upstream("app", replica.Config{ID: "b"})
		d.isUsed("b")
		copied = d.now()
	})
	// expectGone expects that b gets no request since an instant in a drill.
	expectGone := func() {
		time.Sleep(knownTime)
		at := time.Now()
		d.startSlowDrill(copied, tableAway, rewriteLate)
		d.awaitBack(1)
		time.Sleep(rewriteLate + knownTime)
		Expect(d.late("b", at)).To(BeEmpty())
		Expect(d.late("a", at)).NotTo(BeEmpty())
	}

	It("get no request if they were leaving", func() {
		d.register("app", "b", operator.Draining)
		expectGone()
	})

	// Guards against a gateway that starts after the restore and believes the copy, though the
	// others know better.
	It("get no request from a gateway that starts then, once it has heard of the others", func() {
		entry := operator.Upstream{
			ID: "b", Service: "app", Address: d.replicas["b"].Address(), FailureDomain: "z", Slots: 4, State: operator.Ready,
			StartedAtMillis: 7, Sequence: 2,
		}
		d.write(entry.Write)
		copied = d.now()
		entry.State = operator.Draining
		d.write(entry.Write)
		time.Sleep(knownTime)
		d.startSlowDrill(copied, tableAway, 3*effectTime+lateTime)
		d.awaitBack(1)
		d.load(d.start("g5"), 15*time.Millisecond)
		time.Sleep(effectTime)
		at := time.Now()
		time.Sleep(lateTime)
		Expect(d.late("b", at)).To(BeEmpty())
		Expect(d.late("a", at)).NotTo(BeEmpty())
	})

	It("get no request if they were removed", func() {
		d.remove("b")
		expectGone()
	})
})

// Guards against a key that was withdrawn and is served by a gateway that starts on the copy,
// which has an older configuration than the one in force.
var _ = Describe("A key that was withdrawn and is in the copy from which the store is restored", func() {
	It("is not served by a gateway that starts before the operator has written again", func() {
		d := startDrillSite(true)
		time.Sleep(knownTime)
		copied := d.now()
		d.dropKey()
		time.Sleep(knownTime)
		d.startSlowDrill(copied, tableAway, effectTime+lateTime)
		d.awaitBack(1)
		g := d.startUnready("g5")
		for end := time.Now().Add(effectTime + lateTime); time.Now().Before(end); {
			Expect(g.ask("POST", "/safe/x", "few", "b").status).NotTo(Equal(http.StatusOK))
			time.Sleep(100 * time.Millisecond)
		}
		Eventually(g.isReady, "5s", "20ms").Should(BeTrue())
		Expect(g.ask("POST", "/safe/x", "key", "b").status).To(Equal(http.StatusOK))
	})
})

// Guards against a key that is served after it was withdrawn (CONFIG), since the
// configuration of the restored store counted as old.
var _ = Describe("A key that is withdrawn in a store that was restored from an older copy", func() {
	It("is refused in time", func() {
		d := startDrillSite(true)
		copied := d.now()
		d.raiseVersions()
		time.Sleep(knownTime)
		d.restore(copied, 1)
		d.dropKey()
		at := time.Now()
		var late []time.Duration
		for time.Since(at) < effectTime+lateTime {
			sent := time.Since(at)
			for _, g := range d.gateways {
				if g.ask("POST", "/safe/x", "few", "b").status == http.StatusOK && sent > effectTime {
					late = append(late, sent)
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		Expect(late).To(BeEmpty())
	})
})
