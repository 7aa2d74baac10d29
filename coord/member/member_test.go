package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

const start = clock.Instant(time.Hour)

var config = member.DefaultConfig()

func peersOf(salt, count, domains int) []member.Peer {
	peers := make([]member.Peer, count)
	for i := range peers {
		peers[i] = member.Peer{
			Instance:      fmt.Sprintf("gw-%d-%d", salt, i),
			Incarnation:   1,
			FailureDomain: fmt.Sprintf("fd-%d", i%domains),
		}
	}
	return peers
}

// countReachable counts the peers that are connected to the first one, itself
// included, by links in either direction.
func countReachable(links map[string][]member.Peer, first string) int {
	graph := map[string][]string{}
	for from, peers := range links {
		for _, to := range peers {
			graph[from] = append(graph[from], to.Instance)
			graph[to.Instance] = append(graph[to.Instance], from)
		}
	}
	seen := map[string]bool{first: true}
	for queue := []string{first}; len(queue) > 0; queue = queue[1:] {
		for _, to := range graph[queue[0]] {
			if !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	return len(seen)
}

var _ = Describe("Neighbours", func() {
	check := func(t rapid.TB, salt, count, domains int) {
		expect := NewWithT(t)
		peers := peersOf(salt, count, domains)
		links := map[string][]member.Peer{}
		incoming := map[string]int{}
		for _, p := range peers {
			chosen := member.Neighbours(p, peers, config.NeighbourCount)
			outside := 0
			for _, n := range chosen {
				incoming[n.Instance]++
				if n.FailureDomain != p.FailureDomain {
					outside++
				}
			}
			expect.Expect(outside).To(BeNumerically(">=", min(1, domains-1)))
			expect.Expect(len(chosen)).To(BeNumerically(">=", config.NeighbourCount))
			expect.Expect(len(chosen)).To(BeNumerically("<=", config.NeighbourCount+1))
			expect.Expect(chosen).NotTo(ContainElement(p))
			links[p.Instance] = chosen
		}
		expect.Expect(countReachable(links, peers[0].Instance)).To(Equal(count))
		for _, n := range incoming {
			expect.Expect(n).To(BeNumerically("<=", 3*config.NeighbourCount))
		}
	}
	It("connects 8 members, each also to another failure domain", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			check(rt, rapid.Int().Draw(rt, "salt"), 8, rapid.IntRange(1, 4).Draw(rt, "domains"))
		})
	})
	It("connects 380 members, each also to another failure domain", func() {
		for salt := range 4 {
			check(GinkgoTB(), salt, 380, 10)
		}
	})
	It("changes few links when a member leaves", func() {
		peers := peersOf(1, 380, 10)
		changed := 0
		for _, p := range peers[1:] {
			before := member.Neighbours(p, peers, config.NeighbourCount)
			after := member.Neighbours(p, peers[1:], config.NeighbourCount)
			if fmt.Sprint(before) != fmt.Sprint(after) {
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 3*config.NeighbourCount))
	})
})

var _ = Describe("View", func() {
	peers := peersOf(7, 8, 3)
	viewOf := func(i int, now clock.Instant) *member.View {
		v := member.NewView(config, peers[i], now)
		for _, p := range peers {
			v.Merge(member.Update{Peer: p, Liveness: member.Live}, now)
		}
		return v
	}
	withLiveness := func(u member.Update, s member.State) member.Update {
		u.Liveness = s
		return u
	}

	It("never reports a leaving member as live in the same incarnation, in any order of updates", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			expect := NewWithT(rt)
			updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Update {
				return member.Update{
					Peer:     member.Peer{Instance: "x", Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")},
					Counter:  rapid.Uint64Range(0, 3).Draw(t, "counter"),
					Leaving:  rapid.Bool().Draw(t, "leaving"),
					Liveness: rapid.SampledFrom([]member.State{member.Live, member.Suspect, member.Gone}).Draw(t, "silence"),
				}
			}), 1, 12).Draw(rt, "news")
			one, two := viewOf(0, start), viewOf(0, start)
			left := map[uint64]bool{}
			for _, u := range updates {
				one.Merge(u, start)
				left[u.Peer.Incarnation] = left[u.Peer.Incarnation] || u.Leaving
				for incarnation := range left {
					if left[incarnation] {
						expect.Expect(one.State("x", incarnation)).NotTo(BeElementOf(member.Live, member.Suspect))
					}
				}
			}
			for _, u := range rapid.Permutation(updates).Draw(rt, "order") {
				two.Merge(u, start)
			}
			expect.Expect(two.Snapshot()).To(Equal(one.Snapshot()))
			expect.Expect(two.Digest()).To(Equal(one.Digest()))
		})
	})

	It("suspects a silent neighbour, and reports it as gone unless it refutes the suspicion", func() {
		v := viewOf(0, start)
		n := v.Neighbours(start)[0]
		now := start
		for now.Before(start.Add(config.SuspectAfter)) {
			now = now.Add(config.HeartbeatEvery)
			v.Tick(now)
		}
		Expect(v.State(n.Instance, 1)).To(Equal(member.Suspect))
		restored := member.NewView(config, n, now)
		refutation := restored.Merge(withLiveness(restored.Self(), member.Suspect), now)
		Expect(refutation).To(HaveLen(1))
		v.Merge(refutation[0], now)
		Expect(v.State(n.Instance, 1)).To(Equal(member.Live))
		for range 20 {
			now = now.Add(config.HeartbeatEvery)
			v.Tick(now)
		}
		Expect(v.State(n.Instance, 1)).To(Equal(member.Gone))
		Expect(v.Neighbours(now)).NotTo(ContainElement(n))
		reply, ok := v.Reply(restored.Heartbeat())
		Expect(ok).To(BeTrue())
		v.HandleHeartbeat(member.Heartbeat{Self: restored.Merge(reply, now)[0]}, now)
		Expect(v.State(n.Instance, 1)).To(Equal(member.Live))
	})

	It("does not suspect others after its own pause", func() {
		v := viewOf(0, start)
		Expect(v.Tick(start.Add(config.HeartbeatEvery))).To(BeEmpty())
		Expect(v.Tick(start.Add(time.Hour))).To(BeEmpty())
	})

	It("sends heartbeats of less than 100 bytes", func() {
		self := member.Peer{Instance: "gateway-379", Incarnation: 1 << 60, FailureDomain: "saskatoon-hall", Address: "10.255.255.255:65535"}
		encoded, err := cbor.Marshal(member.NewView(config, self, start).Heartbeat())
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println("bytes", len(encoded))
		Expect(len(encoded)).To(BeNumerically("<", 100))
	})

	It("drops updates that no view can produce", func() {
		v := viewOf(0, start)
		Expect(v.Merge(member.Update{Peer: peers[1], Counter: 9}, start)).To(BeEmpty())
	})

	It("gossips one announcement to all 8 members, each forwarding it once", func() {
		views := map[string]*member.View{}
		for i, p := range peers {
			views[p.Instance] = viewOf(i, start)
		}
		type message struct {
			to     string
			update member.Update
		}
		leaving := views[peers[3].Instance].Leave()
		var queue []message
		send := func(from string, u member.Update) {
			for _, n := range views[from].Neighbours(start) {
				queue = append(queue, message{to: n.Instance, update: u})
			}
		}
		send(peers[3].Instance, leaving)
		sent := 0
		for ; len(queue) > 0; queue = queue[1:] {
			sent++
			for _, u := range views[queue[0].to].Merge(queue[0].update, start) {
				send(queue[0].to, u)
			}
		}
		for _, p := range peers {
			Expect(views[p.Instance].State(peers[3].Instance, 1)).To(Equal(member.Leaving))
			Expect(views[p.Instance].Members(member.Live)).To(HaveLen(7))
		}
		Expect(sent).To(BeNumerically("<=", 8*(config.NeighbourCount+1)))
	})
})

func BenchmarkNeighbours380(b *testing.B) {
	peers := peersOf(1, 380, 10)
	b.ReportAllocs()
	for b.Loop() {
		member.Neighbours(peers[0], peers, config.NeighbourCount)
	}
}
