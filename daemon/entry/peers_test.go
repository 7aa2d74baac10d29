package entry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

// peerGateway is the peers duty of one gateway on a loopback address, and what it
// has passed on to the other duties.
type peerGateway struct {
	duty    *peers
	record  cluster.Record
	watch   *ring.Ring[watchMessage]
	cluster *ring.Ring[clusterMessage]
	// isSilent makes it take polls without answering them.
	isSilent atomic.Bool
}

// Serve implements httpd.Handler.
func (g *peerGateway) Serve(x *httpd.Exchange) {
	if !g.isSilent.Load() {
		(&admin{peers: g.duty.inbox, log: zerolog.Nop()}).Serve(x)
	}
}

// Disconnected implements httpd.Handler.
func (g *peerGateway) Disconnected(*httpd.Exchange) {}

func newPeerGateway(i int) *peerGateway {
	name, domain := fmt.Sprintf("gateway-%d", i), fmt.Sprintf("domain-%d", i%2)
	g := &peerGateway{
		duty:    newPeers(name, domain),
		watch:   ring.New[watchMessage]("watch", 1024),
		cluster: ring.New[clusterMessage]("cluster", 4096),
	}
	client := httpc.New(httpc.Config{Name: "peer", Capacity: 64, ConnectTimeout: peerConnectTimeout})
	Expect(client.Open()).To(Succeed())
	g.duty.inbox = ring.New[peerMessage]("peers", 256)
	g.duty.watch, g.duty.cluster = g.watch, g.cluster
	g.duty.client, g.duty.clock, g.duty.log = &peerClient{http: client}, clock.System{}, zerolog.Nop()
	server := httpd.New(httpd.Config{Address: "127.0.0.1:0", Pollers: 1}, g)
	Expect(server.Open()).To(Succeed())
	g.record = cluster.Record{
		Instance: name, Incarnation: uint64(i + 1), Sequence: 1, FailureDomain: domain, PeerAddress: server.Address(), Ready: true, WrittenAt: time.Second,
	}
	threads := []*thread.Thread{thread.Start("peers", g.duty.run), thread.Start("client", client.Run)}
	ginkgo.DeferCleanup(func() {
		g.duty.inbox.Close()
		client.Close()
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
		server.Close()
	})
	return g
}

// reads lets the gateway know a table as the store has it.
func (g *peerGateway) reads(version uint64, full bool, entries ...exchange.Entry) {
	u := exchange.TableUpdate{Table: served.UpstreamTable, Version: version, Full: full, Available: true, Entries: entries}
	Expect(g.duty.inbox.Offer(tableRead{update: u, confirmedAt: clock.System{}.Now()})).To(Succeed())
}

// rows returns the rows that the watch duty has got so far.
func (g *peerGateway) rows(known map[string]uint64) map[string]uint64 {
	for {
		m, ok, err := g.watch.TakeUntil(0)
		if err != nil || !ok {
			return known
		}
		for _, u := range m.updates {
			if u.Full {
				clear(known)
			}
			for _, e := range u.Entries {
				known[e.Key] = e.Version
				if e.Removed {
					delete(known, e.Key)
				}
			}
		}
	}
}

var _ = ginkgo.Describe("Peers", func() {
	var (
		list []*peerGateway
		hubs []cluster.Record
	)
	isHub := func(g *peerGateway) bool {
		for _, hub := range hubs {
			if hub.Instance == g.record.Instance {
				return true
			}
		}
		return false
	}
	followers := func() (out []*peerGateway) {
		for _, g := range list {
			if !isHub(g) {
				out = append(out, g)
			}
		}
		return out
	}
	ginkgo.BeforeEach(func() {
		list, hubs = nil, nil
		var records []cluster.Record
		for i := range 10 {
			g := newPeerGateway(i)
			list = append(list, g)
			records = append(records, g.record)
		}
		hubs = exchange.Hubs(records)
		Expect(hubs).To(HaveLen(2))
		for _, g := range list {
			Expect(g.duty.inbox.Offer(recordsKnown{clock: time.Minute})).To(Succeed())
			Expect(g.duty.inbox.Offer(setOwnRecord{record: g.record})).To(Succeed())
			Expect(g.duty.inbox.Offer(setHubs{hubs: hubs, gateways: len(list)})).To(Succeed())
		}
	})
	confirm := func(hub *peerGateway, version uint64, full bool, entries ...exchange.Entry) {
		hub.reads(version, full, entries...)
	}

	ginkgo.It("pass the changes of a table and the records of all gateways on to all", func() {
		known := map[string]map[string]uint64{}
		for _, g := range followers() {
			known[g.record.Instance] = map[string]uint64{}
		}
		Eventually(func() int {
			done := 0
			for _, g := range list {
				if isHub(g) {
					confirm(g, 7, true, exchange.Entry{Key: "u1", Version: 3}, exchange.Entry{Key: "u2", Version: 7})
				}
			}
			for _, g := range followers() {
				if len(g.rows(known[g.record.Instance])) == 2 {
					done++
				}
			}
			return done
		}, 5*time.Second, 100*time.Millisecond).Should(Equal(8))
		for _, g := range list {
			names := map[string]bool{}
			Eventually(func() int {
				for {
					m, ok, err := g.cluster.TakeUntil(0)
					if err != nil || !ok {
						return len(names)
					}
					for _, r := range m.(recordsKnown).records {
						names[r.Instance] = true
					}
				}
			}, 5*time.Second, 100*time.Millisecond).Should(Equal(10))
		}
	})

	ginkgo.It("get a removal from the other hub while theirs does not answer", func() {
		var dead, alive *peerGateway
		for _, g := range list {
			switch {
			case isHub(g) && dead == nil:
				dead = g
			case isHub(g):
				alive = g
			}
		}
		dead.isSilent.Store(true)
		known := map[string]map[string]uint64{}
		for _, g := range followers() {
			known[g.record.Instance] = map[string]uint64{"u1": 0}
		}
		confirm(alive, 7, true, exchange.Entry{Key: "u1", Version: 3})
		Eventually(func() int {
			confirm(alive, 9, false, exchange.Entry{Key: "u1", Version: 9, Removed: true}, exchange.Entry{Key: "u2", Version: 8})
			done := 0
			for _, g := range followers() {
				rows := g.rows(known[g.record.Instance])
				if _, there := rows["u1"]; !there && rows["u2"] == 8 {
					done++
				}
			}
			return done
		}, 5*time.Second, 100*time.Millisecond).Should(Equal(8))
	})

	ginkgo.It("get no news of a table from a hub that can't reach the store", func() {
		for _, g := range list {
			if isHub(g) {
				confirm(g, 7, true, exchange.Entry{Key: "u1", Version: 3})
				Expect(g.duty.inbox.Offer(tableRead{update: exchange.TableUpdate{Table: served.UpstreamTable}, failed: true})).To(Succeed())
			}
		}
		Consistently(func() int {
			n := 0
			for _, g := range followers() {
				n += len(g.rows(map[string]uint64{}))
			}
			return n
		}, time.Second, 100*time.Millisecond).Should(BeZero())
	})
})

// Guards against usage that is reported too low: the counts of a gateway that has died
// since are asked for once, and an answer to a poll from before does not have them.
var _ = ginkgo.It("Peers ask for the counts of all records, also if a poll without them is under way", func() {
	p := newPeers("g", "d")
	p.cluster, p.watch, p.clock, p.log = ring.New[clusterMessage]("cluster", 8), ring.New[watchMessage]("watch", 8), clock.System{}, zerolog.Nop()
	now := clock.System{}.Now()
	own := cluster.Record{Instance: "g", Incarnation: 1, Sequence: 1}
	p.handle(setOwnRecord{record: own}, now)
	asked := p.request("hub")
	p.handle(setOwnRecord{record: own, needsCounts: true}, now)
	p.handle(newsReceived{hub: "hub", sentAt: now, request: asked, news: exchange.News{Hub: 7, Position: 40}}, now)
	again := p.request("hub")
	Expect(again.NeedsCounts).To(BeTrue())
	Expect(again.Position).To(BeZero())
	p.handle(newsReceived{hub: "hub", sentAt: now, request: again, news: exchange.News{Hub: 7, Position: 41}}, now)
	Expect(p.request("hub").Position).To(BeEquivalentTo(41))
})
