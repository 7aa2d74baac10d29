package spread_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spread")
}

// roundTime is the simulated time of one round, which is also the delay of a
// message over a link.
const roundTime = 50 * time.Millisecond

// testNode is a node with the state that its actions have reported.
type testNode struct {
	*spread.Node
	id, address string
	targets     []spread.Target
	version     uint64
	instances   map[string]fleet.Instance
	frozen      bool
	unreachable bool // opens and accepts no links
	inbox       []packet
}

// packet is a message in flight.
type packet struct {
	from    string
	message spread.Message
}

// network simulates the links between nodes, all in one goroutine.
type network struct {
	fail          func(string, ...any)
	random        *rand.Rand
	now           clock.Instant
	nodes         map[string]*testNode
	order         []string
	isLinked      map[[2]string]bool
	isPartitioned func(a, b string) bool
	loss          float64
	messages      int
}

func newNetwork(fail func(string, ...any), seed uint64, count int) *network {
	w := &network{fail: fail, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*testNode{},
		isLinked: map[[2]string]bool{}, isPartitioned: func(string, string) bool { return false }, now: 1}
	for i := range count {
		w.add(i, 1)
	}
	return w
}

func (w *network) add(i int, incarnation uint64) *testNode {
	role := []string{"gateway", "controller"}[i%2]
	s := &testNode{id: fmt.Sprintf("%s/%d", role, i/2), address: fmt.Sprintf("127.0.0.1:%d", i+1), instances: map[string]fleet.Instance{}}
	self := spread.Member{ID: s.id, Role: role, FailureDomain: fmt.Sprint("d", i/2%3), LinkAddress: s.address, Incarnation: incarnation}
	config := spread.Config{Seeds: []string{"127.0.0.1:1", "127.0.0.1:2"}, ProbeInterval: 3 * time.Second}
	s.Node = spread.NewNode(config, self, w.now, w.random)
	if _, known := w.nodes[s.id]; !known {
		w.order = append(w.order, s.id)
	}
	w.nodes[s.id] = s
	w.apply(s, s.Start(w.now))
	return s
}

func (w *network) apply(s *testNode, actions []spread.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			w.send(s, a)
		case spread.DropLink:
			w.unlink(s.id, a.ID, true)
		case spread.SetTargets:
			s.targets = a.Targets
		case spread.ConfigurationChanged:
			if a.Configuration.Version <= s.version {
				w.fail("%s went from version %d to %d", s.id, s.version, a.Configuration.Version)
			}
			s.version = a.Configuration.Version
		case spread.FleetChanged:
			for _, i := range a.Upserts {
				s.instances[i.ID] = i
			}
			for _, id := range a.Removed {
				delete(s.instances, id)
			}
		}
	}
}

func (w *network) send(s *testNode, a spread.Send) {
	w.messages++
	to := w.nodes[a.To]
	if !w.isLinked[pair(s.id, a.To)] || w.isPartitioned(s.id, a.To) || w.random.Float64() < w.loss {
		return
	}
	to.inbox = append(to.inbox, packet{s.id, a.Message})
	if w.random.Float64() < w.loss {
		to.inbox = append(to.inbox, packet{s.id, a.Message})
	}
	if n := len(to.inbox); w.random.Float64() < w.loss && n > 1 {
		to.inbox[n-1], to.inbox[n-2] = to.inbox[n-2], to.inbox[n-1]
	}
}

func pair(a, b string) [2]string {
	return [2]string{min(a, b), max(a, b)}
}

func (w *network) unlink(a, b string, isLost bool) {
	if !w.isLinked[pair(a, b)] {
		return
	}
	delete(w.isLinked, pair(a, b))
	for _, end := range [][2]string{{a, b}, {b, a}} {
		s := w.nodes[end[0]]
		s.inbox = slices.DeleteFunc(s.inbox, func(p packet) bool { return p.from == end[1] })
		w.apply(s, s.LinkDown(w.now, end[1], isLost))
	}
}

func (w *network) connect(s *testNode) {
	for _, t := range s.targets {
		for _, id := range w.order {
			o := w.nodes[id]
			if o.address != t.Address || id == s.id || w.isLinked[pair(s.id, id)] ||
				w.isPartitioned(s.id, id) || o.frozen || s.unreachable || o.unreachable {
				continue
			}
			w.isLinked[pair(s.id, id)] = true
			w.apply(s, s.LinkUp(w.now, id))
			w.apply(o, o.LinkUp(w.now, s.id))
		}
	}
}

// run simulates rounds for a duration. In each, a node receives the messages of
// the round before.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(roundTime)
		inboxes := map[string][]packet{}
		for _, id := range w.order {
			if s := w.nodes[id]; !s.frozen {
				inboxes[id], s.inbox = s.inbox, nil
			}
		}
		for _, id := range w.order {
			s := w.nodes[id]
			if s.frozen {
				continue
			}
			for _, p := range inboxes[id] {
				w.apply(s, s.Receive(w.now, p.from, p.message))
			}
			w.apply(s, s.Tick(w.now))
			w.connect(s)
		}
	}
}

// disagreement describes the first difference between the expected state and
// that of a reachable node; empty if there is none.
func (w *network) disagreement(version uint64, instances int) string {
	for _, id := range w.order {
		s := w.nodes[id]
		switch {
		case s.frozen || s.unreachable:
			continue
		case s.version != version:
			return fmt.Sprintf("%s has version %d", id, s.version)
		case len(s.instances) != instances:
			return fmt.Sprintf("%s has %d instances at %+v", id, len(s.instances), s.Summary().Fleet)
		}
		if p := s.Progress(version); len(p.Missing) > 0 {
			return fmt.Sprintf("%s lacks reports of %v", id, p.Missing)
		}
		for _, m := range s.Members() {
			if o := w.nodes[m.ID]; (m.State == spread.Gone) != o.unreachable {
				return fmt.Sprintf("%s lists %s as %v", id, m.ID, m.State)
			}
		}
	}
	return ""
}

func (w *network) awaitAgreement(what string, version uint64, instances int, within time.Duration) time.Duration {
	start := w.now
	for w.now.Sub(start) < within {
		if w.disagreement(version, instances) == "" {
			return w.now.Sub(start)
		}
		w.run(roundTime)
	}
	w.fail("%s: after %v: %s", what, within, w.disagreement(version, instances))
	return 0
}

func (w *network) publish(s *testNode, version uint64) {
	w.apply(s, s.PublishConfiguration(w.now, &intent.Configuration{Version: version}))
}

func (w *network) publishFleet(s *testNode, epoch uint64, instances ...fleet.Instance) {
	actions, err := s.PublishFleet(w.now, epoch, instances, nil)
	if err == nil {
		w.apply(s, actions)
	}
}

// TestConvergesAfterFaults applies random publications, partitions, pauses,
// restarts and lost, duplicated and reordered messages. Once the faults end, all
// nodes must reach the same state.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 14).Draw(t, "processes")
		w := newNetwork(t.Fatalf, rapid.Uint64().Draw(t, "seed"), count)
		version, epoch, instances := uint64(0), uint64(1), 0
		incarnation := uint64(1)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			i := rapid.IntRange(0, count-1).Draw(t, "who")
			s := w.nodes[w.order[i]]
			switch rapid.SampledFrom([]string{"publish", "fleet", "old", "cut", "heal", "freeze", "lossy", "restart"}).Draw(t, "event") {
			case "publish":
				version++
				w.publish(s, version)
			case "old":
				w.publish(s, version/2)
			case "fleet":
				// A new lease holder publishes the whole list, which it gets
				// from the cloud.
				epoch++
				instances++
				var list []fleet.Instance
				for k := range instances {
					list = append(list, fleet.Instance{ID: fmt.Sprint(k)})
				}
				w.publishFleet(s, epoch, list...)
			case "cut":
				left := rapid.IntRange(1, count-1).Draw(t, "left")
				isLeft := map[string]bool{}
				for _, id := range w.order[:left] {
					isLeft[id] = true
				}
				w.isPartitioned = func(a, b string) bool { return isLeft[a] != isLeft[b] }
			case "heal":
				w.isPartitioned = func(string, string) bool { return false }
			case "freeze":
				s.frozen = !s.frozen
			case "lossy":
				w.loss = 0.2
			case "restart":
				for _, id := range w.order {
					w.unlink(s.id, id, true)
				}
				incarnation++
				w.add(i, incarnation)
			}
			w.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
		}
		w.isPartitioned = func(string, string) bool { return false }
		w.loss = 0.2
		for _, s := range w.nodes {
			s.frozen = false
		}
		// State that only restarted processes had is lost. In production it is
		// published again from the store, so the test does the same.
		version++
		epoch++
		w.publish(w.nodes[w.order[0]], version)
		var list []fleet.Instance
		for k := range instances {
			list = append(list, fleet.Instance{ID: fmt.Sprint(k)})
		}
		w.publishFleet(w.nodes[w.order[0]], epoch, list...)
		w.run(3 * time.Second)
		w.loss = 0
		w.awaitAgreement("after the faults have ended", version, instances, 3*time.Minute)
	})
}

var _ = Describe("Node", func() {
	It("disseminates a configuration, and a change of the fleet while a process is frozen", func() {
		w := newNetwork(failf, 7, 64)
		w.publish(w.nodes["controller/0"], 1)
		w.awaitAgreement("start", 1, 0, time.Minute)
		w.nodes["controller/1"].frozen = true
		w.publishFleet(w.nodes["controller/0"], 1, fleet.Instance{ID: "i", State: fleet.Leaving})
		w.run(3 * time.Second)
		for _, s := range w.nodes {
			if !s.frozen {
				Expect(s.instances).To(HaveLen(1), s.id)
			}
		}
	})

	It("converges to the highest of several versions while the store is unavailable", func() {
		w := newNetwork(failf, 3, 6)
		w.awaitAgreement("start", 0, 0, time.Minute)
		w.isPartitioned = func(string, string) bool { return true }
		w.publish(w.nodes["gateway/0"], 4)
		w.publish(w.nodes["gateway/1"], 9)
		w.publish(w.nodes["gateway/2"], 6)
		w.isPartitioned = func(string, string) bool { return false }
		w.add(6, 1)
		w.run(5 * time.Second)
		Expect(w.nodes["gateway/3"].version).To(Equal(uint64(9)))
	})

	It("lists an unreachable process as gone, and as live once it is back", func() {
		w := newNetwork(failf, 5, 8)
		w.awaitAgreement("start", 0, 0, time.Minute)
		s := w.nodes["gateway/2"]
		s.unreachable = true
		for _, id := range w.order {
			w.unlink(s.id, id, true)
		}
		w.awaitAgreement("gone", 0, 0, 30*time.Second)
		s.unreachable = false
		w.awaitAgreement("back", 0, 0, 2*time.Minute)
	})

	It("drops the report of a process when it restarts", func() {
		w := newNetwork(failf, 5, 2)
		w.publish(w.nodes["controller/0"], 1)
		w.awaitAgreement("start", 1, 0, time.Minute)
		s := w.nodes["gateway/0"]
		entry := s.Members()[0]
		Expect(entry.ID).To(Equal("controller/0"))
		entry.Incarnation++
		w.apply(s, s.Receive(w.now, entry.ID, &spread.MemberUpdate{Members: []spread.Member{entry}}))
		Expect(s.Progress(1).Missing).To(Equal([]string{entry.ID}))
	})

	// Guards against a configuration that is reported to be in force everywhere since a
	// process that does not know of a restart yet still tells what the former one held.
	It("counts no report of a process from before its restart, whoever passes it on", func() {
		w := newNetwork(failf, 5, 3)
		w.publish(w.nodes["controller/0"], 1)
		w.awaitAgreement("start", 1, 0, time.Minute)
		s, other := w.nodes["gateway/0"], w.nodes["gateway/1"]
		entry := s.Members()[0]
		Expect(entry.ID).To(Equal("controller/0"))
		entry.Incarnation++
		w.apply(s, s.Receive(w.now, other.id, &spread.MemberUpdate{Members: []spread.Member{entry}}))
		Expect(s.Progress(1).Missing).To(Equal([]string{entry.ID}))
		var passedOn []spread.Message
		for _, a := range other.Receive(w.now, s.id, &spread.SyncRequest{Topic: spread.TopicReports}) {
			if sent, ok := a.(spread.Send); ok && sent.To == s.id {
				passedOn = append(passedOn, sent.Message)
			}
		}
		Expect(passedOn).To(ContainElement(BeAssignableToTypeOf(&spread.ConfigurationReport{})))
		for _, m := range passedOn {
			w.apply(s, s.Receive(w.now, other.id, m))
		}
		Expect(s.Progress(1).Missing).To(Equal([]string{entry.ID}))
	})

	It("rejects a change of the fleet under an old lease", func() {
		w := newNetwork(failf, 5, 1)
		s := w.nodes["gateway/0"]
		w.publishFleet(s, 2, fleet.Instance{ID: "i"})
		_, err := s.PublishFleet(w.now, 1, nil, []string{"i"})
		Expect(err).To(Equal(&spread.StaleEpochError{Epoch: 1, Newest: 2}))
	})
})

// failf fails the running spec with a formatted message.
func failf(format string, args ...any) { Fail(fmt.Sprintf(format, args...)) }
