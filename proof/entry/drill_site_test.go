package entry_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

const (
	// dutiesLimit is the time after which a window that was not reported before is: the
	// TTL of the lease, a watch interval, the settle time, a window and 2 s.
	dutiesLimit = 3*time.Second + time.Second + 4500*time.Millisecond + 2*time.Second + 2*time.Second
	// lateTakeover is the time in which a takeover after the return of the store shows:
	// the TTL of the lease, a watch interval and 0.5 s.
	lateTakeover = 3*time.Second + time.Second + 500*time.Millisecond
	// rowVersionBytes is the length of the row's own version in front of a lease.
	rowVersionBytes = 8
	// rewriteDelay is the time after which the operator has written again.
	rewriteDelay = 200 * time.Millisecond
)

// drillSite is a site with four gateways under load, whose store can be restored from an
// older copy.
type drillSite struct {
	*site
	gateways map[string]*gateway
	before   clock.Instant // when there were no gateways
}

// newDrillSite starts the gateways and waits until one of them does the duties.
func newDrillSite(tellsEra bool) *drillSite {
	d := startDrillSite(tellsEra)
	Eventually(d.reports, dutiesLimit, "20ms").ShouldNot(BeEmpty())
	return d
}

// startDrillSite starts the gateways.
func startDrillSite(tellsEra bool) *drillSite {
	d := &drillSite{site: newSite(), gateways: make(map[string]*gateway)}
	if tellsEra {
		posted(d.store, func() { d.store.SetEra(0) })
	}
	d.configure()
	d.upstream("app", replica.Config{ID: "a"})
	d.before = d.now()
	for i := 1; i <= 4; i++ {
		d.load(d.start(fmt.Sprintf("g%d", i)), time.Duration(i)*15*time.Millisecond)
	}
	DeferCleanup(d.show)
	return d
}

// load sends requests to a gateway until the end of the spec. Those of two gateways are
// not the same number, so that counts without one of them differ.
func (d *drillSite) load(g *gateway, pause time.Duration) {
	d.gateways[g.settings.Instance] = g
	ended := ring.New[bool]("ended", 1)
	hosttest.Go(func() {
		for {
			g.ask("POST", "/once/x", "key", "b")
			if _, _, err := ended.TakeUntil(pause); err != nil {
				return
			}
		}
	})
	DeferCleanup(ended.Close)
}

func (d *drillSite) now() (now clock.Instant) {
	posted(d.store, func() { now = d.store.Now() })
	return now
}

func (d *drillSite) reports() (list []duties.UsageReport) {
	posted(d.cloud, func() { list = d.cloud.Reports() })
	return list
}

// last returns the last report that was accepted.
func (d *drillSite) last() duties.UsageReport {
	list := d.reports()
	return list[len(list)-1]
}

func (d *drillSite) holder() *gateway {
	return d.gateways[d.last().Holder]
}

// crashHolder ends the holder, waits until another has reported with its number, also a
// window in which requests ran, and returns an instant before its takeover and before a
// renewal, so that nobody has seen last what a copy of then holds.
func (d *drillSite) crashHolder() clock.Instant {
	at, version := d.now(), d.leaseVersion()
	Eventually(d.leaseVersion, dutiesLimit, "20ms").ShouldNot(Equal(version))
	d.holder().close()
	d.awaitSuccessor()
	d.awaitCounts()
	return at
}

// awaitSuccessor waits until another than the present holder has reported.
func (d *drillSite) awaitSuccessor() {
	former := d.last()
	Eventually(func() bool {
		last := d.last()
		return last.Holder != former.Holder && last.Fence > former.Fence
	}, dutiesLimit, "20ms").Should(BeTrue(), "nobody took the duties over")
}

// awaitCounts waits until a window in which requests ran has been reported.
func (d *drillSite) awaitCounts() {
	Eventually(func() bool { return len(d.last().Counts) > 0 }, dutiesLimit, "20ms").Should(BeTrue())
}

// awaitWindow waits until the usage window that was open at a time has been reported.
func (d *drillSite) awaitWindow(at time.Time) {
	window := at.UnixNano() / int64(d.holder().settings.UsageWindow)
	Eventually(d.newestWindow, dutiesLimit, "20ms").Should(BeNumerically(">=", window))
}

// releaseHolder lets the holder leave, and returns an instant at which the lease was
// released and not taken over yet.
func (d *drillSite) releaseHolder() clock.Instant {
	// A takeover would follow too soon to see the released row.
	hosttest.SetFaults(d.store.Address(), host.Faults{SlowMillis: 100})
	d.holder().role.Stop()
	var at clock.Instant
	released := func() (is bool) {
		posted(d.store, func() {
			at = d.store.Now()
			for _, r := range d.leaseRow() {
				record, err := lease.DecodeRecord(row.Row{Value: r.Value[rowVersionBytes:]})
				is = err == nil && record.Released
			}
		})
		return is
	}
	Eventually(released, dutiesLimit, "5ms").Should(BeTrue())
	hosttest.SetFaults(d.store.Address(), host.Faults{})
	return at
}

// leaseVersion returns the version of the row of the lease.
func (d *drillSite) leaseVersion() (version uint64) {
	posted(d.store, func() {
		for _, r := range d.leaseRow() {
			version = r.Version
		}
	})
	return version
}

// leaseRow returns the row of the lease, if there is one, without those that mark
// timelines. It must run on the thread of the store.
func (d *drillSite) leaseRow() []rowstore.Row {
	return slices.DeleteFunc(d.store.Rows("leases"), func(r rowstore.Row) bool { return r.Key != "duties" })
}

// startDrill takes the store away and brings it back as it was at an instant.
func (d *drillSite) startDrill(copiedAt clock.Instant, away time.Duration) {
	d.startSlowDrill(copiedAt, away, rewriteDelay)
}

// startSlowDrill does the same, and the operator and the upstreams write again after a
// delay.
func (d *drillSite) startSlowDrill(copiedAt clock.Instant, away, rewrite time.Duration) {
	posted(d.store, func() {
		d.store.StartDrill(rowstore.Drill{Away: away, Age: d.store.Now().Sub(copiedAt), Rewrite: rewrite})
	})
}

// awaitBack waits until the store has been restored a number of times.
func (d *drillSite) awaitBack(era uint64) {
	restored := func() (now uint64) {
		posted(d.store, func() { now = d.store.Era() })
		return now
	}
	Eventually(restored, "10s", "5ms").Should(Equal(era))
}

// observe returns what is wrong from now on, when the store is back, and before.
func (d *drillSite) observe() []string {
	start, newest := d.now(), d.newestWindow()
	var again time.Duration
	watch := func() bool {
		since := d.now().Sub(start)
		if again == 0 && d.newestWindow() > newest {
			again = since
		}
		return again > 0 && since >= lateTakeover || since >= dutiesLimit
	}
	Eventually(watch, dutiesLimit+time.Second, "20ms").Should(BeTrue())
	GinkgoWriter.Printf("a new window is reported after %v; 0s is never\n", again)
	wrong := append(d.sharedNumbers(), d.changedCounts()...)
	if again == 0 {
		wrong = append(wrong, fmt.Sprintf("nobody reported a new window in %v", dutiesLimit))
	}
	return wrong
}

func (d *drillSite) newestWindow() (newest int64) {
	for _, r := range d.reports() {
		newest = max(newest, r.Window)
	}
	return newest
}

// sharedNumbers returns the fencing numbers that two holders used.
func (d *drillSite) sharedNumbers() (wrong []string) {
	holders := make(map[uint64]string)
	for _, r := range d.reports() {
		if first, isKnown := holders[r.Fence]; isKnown && first != r.Holder {
			wrong = append(wrong, fmt.Sprintf("number %d used by %s and %s", r.Fence, first, r.Holder))
		}
		holders[r.Fence] = r.Holder
	}
	return wrong
}

// changedCounts returns the windows that were reported with different counts.
func (d *drillSite) changedCounts() (wrong []string) {
	first := make(map[int64]duties.UsageReport)
	for _, r := range d.reports() {
		known, isKnown := first[r.Window]
		if isKnown && !maps.Equal(known.Counts, r.Counts) {
			wrong = append(wrong, fmt.Sprintf("window %d counted %v by %s and %v by %s", r.Window, known.Counts, known.Holder, r.Counts, r.Holder))
		}
		if !isKnown {
			first[r.Window] = r
		}
	}
	return wrong
}

// show tells what was reported, and what the gateways logged of the duties.
func (d *drillSite) show() {
	for _, r := range d.reports() {
		GinkgoWriter.Printf("reported %+v\n", r)
	}
	for _, name := range slices.Sorted(maps.Keys(d.gateways)) {
		for line := d.gateways[name].logged(); line != ""; line = d.gateways[name].logged() {
			if strings.Contains(line, "duties") || strings.Contains(line, "lease") || strings.Contains(line, "usage") ||
				strings.Contains(line, "timeline") || strings.Contains(line, "upstream") || strings.Contains(line, "config") {
				GinkgoWriter.Printf("%s: %s", name, line)
			}
		}
	}
}
