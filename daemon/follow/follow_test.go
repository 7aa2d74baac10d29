package follow_test

import (
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/follow"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}

const processes = 8

// fastConfig has timeouts short enough to detect failures within seconds.
var fastConfig = spread.Config{
	HeartbeatInterval: 500 * time.Millisecond,
	SuspectAfter:      2 * time.Second,
	GoneAfter:         3 * time.Second,
	ProbeInterval:     2 * time.Second,
}

var _ = Describe("Follow among 8 processes", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster(processes, 8, fastConfig)
		_, ok := c.await(20*time.Second, c.knowsAll)
		Expect(ok).To(BeTrue())
	})
	AfterEach(func() { c.close() })

	expectVersion := func(version uint64) {
		_, ok := c.await(5*time.Second, func(d *daemon) bool { return d.version.Load() == version })
		ExpectWithOffset(1, ok).To(BeTrue())
	}

	It("delivers a configuration to all processes and reports that to its publisher", func() {
		Expect(c.daemons[1].follow.PublishConfiguration(&intent.Configuration{Version: 3})).To(Succeed())
		Expect(c.daemons[2].follow.PublishConfiguration(&intent.Configuration{Version: 2})).To(Succeed())
		reply := ring.New[spread.Progress]("reply", 1)
		Expect(c.daemons[1].follow.Await(3, 5*time.Second, reply)).To(Succeed())
		progress, _, _ := reply.TakeUntil(6 * time.Second)
		Expect(progress.Missing).To(BeEmpty())
		Expect(progress.Holders).To(HaveLen(processes))
		expectVersion(3)
		sections := ring.New[report.Section]("reply", 1)
		Expect(follow.LinksSource(c.daemons[1].links)(sections)).To(Succeed())
		section, _, _ := sections.TakeUntil(time.Second)
		Expect(section.State.([]link.Status)).NotTo(BeEmpty())
		Expect(c.daemons[0].follow.Await(4, 0, reply)).To(Succeed())
		progress, _, _ = reply.TakeUntil(time.Second)
		Expect(progress.Missing).To(HaveLen(processes))
	})

	It("delivers the addresses of all gateways to every process, including a leaving one", func() {
		Expect(c.daemons[2].follow.SetLeaving()).To(Succeed())
		_, ok := c.await(3*time.Second, func(d *daemon) bool {
			return d.count(spread.Leaving) == 1 && d.count(spread.Live) == processes-1
		})
		Expect(ok).To(BeTrue())
		addresses := 0
		for _, m := range *c.daemons[1].members.Load() {
			if m.PublicAddress != "" {
				addresses++
			}
		}
		Expect(addresses).To(Equal(processes / 2))
	})

	It("keeps updates while the ring of the owner is full and loses none", func() {
		d := c.daemons[5]
		d.refusesUpdates.Store(true)
		before := d.updates.Load()
		for i := range 5 {
			Expect(c.daemons[1].follow.PublishConfiguration(&intent.Configuration{Version: uint64(i + 1)})).To(Succeed())
			Expect(c.daemons[1].follow.PublishFleet(1, []fleet.Instance{{ID: string(rune('a' + i))}}, nil)).To(Succeed())
		}
		dumped := func() follow.Section {
			reply := ring.New[report.Section]("reply", 1)
			Expect(d.follow.Dump(reply)).To(Succeed())
			section, _, _ := reply.TakeUntil(time.Second)
			return section.State.(follow.Section)
		}
		Eventually(func() int { return dumped().Instances }, 5*time.Second).Should(Equal(5))
		Eventually(func() uint64 { return dumped().Configuration }, 5*time.Second).Should(Equal(uint64(5)))
		Expect(dumped().Undelivered).To(BeTrue())
		d.refusesUpdates.Store(false)
		expectVersion(5)
		Expect(d.instances.Load()).To(Equal(int64(5)))
		Expect(d.updates.Load() - before).To(BeNumerically("<=", 2))
	})

	It("delivers a reclaim notice to all other processes while a controller is partitioned", func() {
		controller := c.daemons[3]
		defer controller.close()
		cutOff := netip.MustParseAddrPort(controller.links.Address())
		for i, d := range c.daemons {
			isCut := func(to netip.AddrPort) bool { return to == cutOff || i == 3 }
			d.socket.isCut.Store(&isCut)
		}
		c.daemons = append(c.daemons[:3:3], c.daemons[4:]...)
		notice := fleet.Instance{ID: "i", State: fleet.Leaving}
		Expect(c.daemons[1].follow.PublishFleet(1, []fleet.Instance{notice}, nil)).To(Succeed())
		_, ok := c.await(3*time.Second, func(d *daemon) bool { return d.instances.Load() == 1 })
		Expect(ok).To(BeTrue())
	})

	It("marks a crashed process as gone, and as live after its restart", func() {
		d := c.daemons[6]
		address := d.links.Address()
		d.close()
		c.daemons = append(c.daemons[:6], c.daemons[7])
		_, ok := c.await(25*time.Second, func(d *daemon) bool { return d.count(spread.Gone) == 1 })
		Expect(ok).To(BeTrue())
		Expect(c.daemons[0].follow.PublishConfiguration(&intent.Configuration{Version: 8})).To(Succeed())
		expectVersion(8)
		c.daemons = append(c.daemons, c.start(6, c.directory, address))
		expectVersion(8)
		_, ok = c.await(10*time.Second, c.knowsAll)
		Expect(ok).To(BeTrue())
	})

	It("refuses a process whose certificate another authority signed", func() {
		directory, err := os.MkdirTemp("", "strangers")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = os.RemoveAll(directory) }()
		Expect(keys.WriteAll(directory, []keys.Name{nameOf(9)}, time.Hour)).To(Succeed())
		stranger := c.start(9, directory, "127.0.0.1:0")
		defer stranger.close()
		Expect(stranger.follow.PublishConfiguration(&intent.Configuration{Version: 666})).To(Succeed())
		Consistently(func() float64 { return stranger.metric("sycamore_links") }, 2*time.Second).Should(BeZero())
		Expect(c.daemons[0].version.Load()).To(BeZero())
	})

	It("converges after a partition into two halves", func() {
		left := map[netip.AddrPort]bool{}
		for _, d := range c.daemons[:4] {
			left[netip.MustParseAddrPort(d.links.Address())] = true
		}
		for i, d := range c.daemons {
			isCut := func(to netip.AddrPort) bool { return left[to] != (i < 4) }
			d.socket.isCut.Store(&isCut)
		}
		Expect(c.daemons[1].follow.PublishConfiguration(&intent.Configuration{Version: 5})).To(Succeed())
		Expect(c.daemons[7].follow.PublishConfiguration(&intent.Configuration{Version: 6})).To(Succeed())
		_, ok := c.await(40*time.Second, func(d *daemon) bool { return d.count(spread.Gone) == 4 })
		Expect(ok).To(BeTrue())
		Expect(c.daemons[0].version.Load()).To(Equal(uint64(5)))
		for _, d := range c.daemons {
			d.socket.isCut.Store(nil)
		}
		_, ok = c.await(60*time.Second, c.knowsAll)
		Expect(ok).To(BeTrue())
		expectVersion(6)
	})
})
