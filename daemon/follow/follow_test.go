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

// fast are times at which failures are seen within a few seconds.
var fast = spread.Config{
	HeartbeatInterval: 500 * time.Millisecond,
	SuspectAfter:      2 * time.Second,
	GoneAfter:         3 * time.Second,
	ProbeInterval:     2 * time.Second,
}

var _ = Describe("Follow among 8 processes", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster(processes, 8, fast)
		_, ok := c.await(20*time.Second, c.knowsAll)
		Expect(ok).To(BeTrue())
	})
	AfterEach(func() { c.close() })

	inForce := func(version uint64) {
		_, ok := c.await(5*time.Second, func(d *daemon) bool { return d.version.Load() == version })
		ExpectWithOffset(1, ok).To(BeTrue())
	}

	It("brings a configuration everywhere and says so to its publisher", func() {
		Expect(c.daemons[1].follow.PublishConfiguration(&intent.Configuration{Version: 3})).To(Succeed())
		Expect(c.daemons[2].follow.PublishConfiguration(&intent.Configuration{Version: 2})).To(Succeed())
		reply := ring.New[spread.Progress]("reply", 1)
		Expect(c.daemons[1].follow.Await(3, 5*time.Second, reply)).To(Succeed())
		progress, _, _ := reply.TakeUntil(6 * time.Second)
		Expect(progress.Missing).To(BeEmpty())
		Expect(progress.Holders).To(HaveLen(processes))
		inForce(3)
		sections := ring.New[report.Section]("reply", 1)
		Expect(follow.LinksSource(c.daemons[1].links)(sections)).To(Succeed())
		section, _, _ := sections.TakeUntil(time.Second)
		Expect(section.State.([]link.Status)).NotTo(BeEmpty())
		Expect(c.daemons[0].follow.Await(4, 0, reply)).To(Succeed())
		progress, _, _ = reply.TakeUntil(time.Second)
		Expect(progress.Missing).To(HaveLen(processes))
	})

	It("gives every process the addresses of all gateways, a leaving one included", func() {
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

	It("keeps updates while the owner's ring is full and loses none", func() {
		d := c.daemons[5]
		d.refuses.Store(true)
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
		d.refuses.Store(false)
		inForce(5)
		Expect(d.instances.Load()).To(Equal(int64(5)))
		Expect(d.updates.Load() - before).To(BeNumerically("<=", 2))
	})

	It("brings a reclaim notice to all others while a controller is cut off", func() {
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

	It("takes a crashed process for gone, and for live once it is back", func() {
		d := c.daemons[6]
		address := d.links.Address()
		d.close()
		c.daemons = append(c.daemons[:6], c.daemons[7])
		_, ok := c.await(25*time.Second, func(d *daemon) bool { return d.count(spread.Gone) == 1 })
		Expect(ok).To(BeTrue())
		Expect(c.daemons[0].follow.PublishConfiguration(&intent.Configuration{Version: 8})).To(Succeed())
		inForce(8)
		c.daemons = append(c.daemons, c.start(6, c.directory, address))
		inForce(8)
		_, ok = c.await(10*time.Second, c.knowsAll)
		Expect(ok).To(BeTrue())
	})

	It("refuses a stranger with the name of a process", func() {
		directory, err := os.MkdirTemp("", "strangers")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = os.RemoveAll(directory) }()
		Expect(keys.WriteAll(directory, []keys.Name{nameOf(9)}, time.Hour)).To(Succeed())
		stranger := c.start(9, directory, "127.0.0.1:0")
		defer stranger.close()
		Expect(stranger.follow.PublishConfiguration(&intent.Configuration{Version: 666})).To(Succeed())
		Consistently(func() float64 { return stranger.counted("sycamore_links") }, 2*time.Second).Should(BeZero())
		Expect(c.daemons[0].version.Load()).To(BeZero())
	})

	It("agrees again after a cut between two halves", func() {
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
		inForce(6)
	})
})
