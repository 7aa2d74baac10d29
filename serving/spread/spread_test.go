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

// step is the time between two rounds of the network.
const step = 50 * time.Millisecond

// station is a node with what its owner was told.
type station struct {
	*spread.Node
	id, address string
	targets     []spread.Target
	version     uint64
	instances   map[string]fleet.Instance
	frozen      bool
	silent      bool // neither dials nor is dialled
	inbox       []packet
}

// packet is a message under way.
type packet struct {
	from    string
	message spread.Message
}

// network links nodes without processes.
type network struct {
	fail     func(string, ...any)
	random   *rand.Rand
	now      clock.Instant
	stations map[string]*station
	order    []string
	links    map[[2]string]bool
	cut      func(a, b string) bool
	loss     float64
	messages int
}

func newNetwork(fail func(string, ...any), seed uint64, count int) *network {
	w := &network{fail: fail, random: rand.New(rand.NewPCG(seed, 1)), stations: map[string]*station{},
		links: map[[2]string]bool{}, cut: func(string, string) bool { return false }, now: 1}
	for i := range count {
		w.add(i, 1)
	}
	return w
}

func (w *network) add(i int, incarnation uint64) *station {
	role := []string{"gateway", "controller"}[i%2]
	s := &station{id: fmt.Sprintf("%s/%d", role, i/2), address: fmt.Sprintf("127.0.0.1:%d", i+1), instances: map[string]fleet.Instance{}}
	self := spread.Member{ID: s.id, Role: role, FailureDomain: fmt.Sprint("d", i/2%3), LinkAddress: s.address, Incarnation: incarnation}
	config := spread.Config{Seeds: []string{"127.0.0.1:1", "127.0.0.1:2"}, ProbeEvery: 3 * time.Second}
	s.Node = spread.NewNode(config, self, w.now, w.random)
	if _, known := w.stations[s.id]; !known {
		w.order = append(w.order, s.id)
	}
	w.stations[s.id] = s
	w.act(s, s.Start(w.now))
	return s
}

func (w *network) act(s *station, actions []spread.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			w.send(s, a)
		case spread.Drop:
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

func (w *network) send(s *station, a spread.Send) {
	w.messages++
	to := w.stations[a.To]
	if !w.links[pair(s.id, a.To)] || w.cut(s.id, a.To) || w.random.Float64() < w.loss {
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
	if !w.links[pair(a, b)] {
		return
	}
	delete(w.links, pair(a, b))
	for _, end := range [][2]string{{a, b}, {b, a}} {
		s := w.stations[end[0]]
		s.inbox = slices.DeleteFunc(s.inbox, func(p packet) bool { return p.from == end[1] })
		w.act(s, s.Down(w.now, end[1], isLost))
	}
}

func (w *network) connect(s *station) {
	for _, t := range s.targets {
		for _, id := range w.order {
			o := w.stations[id]
			if o.address != t.Address || id == s.id || w.links[pair(s.id, id)] ||
				w.cut(s.id, id) || o.frozen || s.silent || o.silent {
				continue
			}
			w.links[pair(s.id, id)] = true
			w.act(s, s.Up(w.now, id))
			w.act(o, o.Up(w.now, s.id))
		}
	}
}

// run lets time pass. A message takes a step for each link.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		inboxes := map[string][]packet{}
		for _, id := range w.order {
			if s := w.stations[id]; !s.frozen {
				inboxes[id], s.inbox = s.inbox, nil
			}
		}
		for _, id := range w.order {
			s := w.stations[id]
			if s.frozen {
				continue
			}
			for _, p := range inboxes[id] {
				w.act(s, s.Receive(w.now, p.from, p.message))
			}
			w.act(s, s.Tick(w.now))
			w.connect(s)
		}
	}
}

// differs says why the nodes do not agree yet; empty when they do.
func (w *network) differs(version uint64, instances int) string {
	for _, id := range w.order {
		s := w.stations[id]
		switch {
		case s.frozen || s.silent:
			continue
		case s.version != version:
			return fmt.Sprintf("%s has version %d", id, s.version)
		case len(s.instances) != instances:
			return fmt.Sprintf("%s has %d instances at %+v", id, len(s.instances), s.Summary().Fleet)
		}
		if p := s.Progress(version); len(p.Missing) > 0 {
			return fmt.Sprintf("%s misses reports of %v", id, p.Missing)
		}
		for _, m := range s.Members() {
			if o := w.stations[m.ID]; (m.State == spread.Gone) != o.silent {
				return fmt.Sprintf("%s takes %s for %v", id, m.ID, m.State)
			}
		}
	}
	return ""
}

func (w *network) mustAgree(what string, version uint64, instances int, within time.Duration) time.Duration {
	start := w.now
	for w.now.Sub(start) < within {
		if w.differs(version, instances) == "" {
			return w.now.Sub(start)
		}
		w.run(step)
	}
	w.fail("%s: after %v: %s", what, within, w.differs(version, instances))
	return 0
}

func (w *network) publish(s *station, version uint64) {
	w.act(s, s.PublishConfiguration(w.now, &intent.Configuration{Version: version}))
}

func (w *network) publishFleet(s *station, epoch uint64, instances ...fleet.Instance) {
	actions, err := s.PublishFleet(w.now, epoch, instances, nil)
	if err == nil {
		w.act(s, actions)
	}
}

// TestAnyHistory lets rapid choose publications, cuts, pauses, crashes and
// lost, doubled and reordered messages, and then heals all.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 14).Draw(t, "processes")
		w := newNetwork(t.Fatalf, rapid.Uint64().Draw(t, "seed"), count)
		version, epoch, instances := uint64(0), uint64(1), 0
		incarnation := uint64(1)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			i := rapid.IntRange(0, count-1).Draw(t, "who")
			s := w.stations[w.order[i]]
			switch rapid.SampledFrom([]string{"publish", "fleet", "old", "cut", "heal", "freeze", "lossy", "restart"}).Draw(t, "event") {
			case "publish":
				version++
				w.publish(s, version)
			case "old":
				w.publish(s, version/2)
			case "fleet":
				// A holder of a new lease knows the whole list from the cloud.
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
				w.cut = func(a, b string) bool { return isLeft[a] != isLeft[b] }
			case "heal":
				w.cut = func(string, string) bool { return false }
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
		w.cut = func(string, string) bool { return false }
		w.loss = 0.2
		for _, s := range w.stations {
			s.frozen = false
		}
		// What was only ever held by processes that restarted comes again from
		// the store.
		version++
		epoch++
		w.publish(w.stations[w.order[0]], version)
		var list []fleet.Instance
		for k := range instances {
			list = append(list, fleet.Instance{ID: fmt.Sprint(k)})
		}
		w.publishFleet(w.stations[w.order[0]], epoch, list...)
		w.run(3 * time.Second)
		w.loss = 0
		w.mustAgree("after all has healed", version, instances, 3*time.Minute)
	})
}

var _ = Describe("Node", func() {
	It("brings a configuration and a reclaim notice everywhere with a process frozen", func() {
		w := newNetwork(failf, 7, 64)
		w.publish(w.stations["controller/0"], 1)
		w.mustAgree("start", 1, 0, time.Minute)
		w.stations["controller/1"].frozen = true
		w.publishFleet(w.stations["controller/0"], 1, fleet.Instance{ID: "i", State: fleet.Leaving})
		w.run(3 * time.Second)
		for _, s := range w.stations {
			if !s.frozen {
				Expect(s.instances).To(HaveLen(1), s.id)
			}
		}
	})

	It("takes the highest of several versions while the store is away", func() {
		w := newNetwork(failf, 3, 6)
		w.mustAgree("start", 0, 0, time.Minute)
		w.cut = func(string, string) bool { return true }
		w.publish(w.stations["gateway/0"], 4)
		w.publish(w.stations["gateway/1"], 9)
		w.publish(w.stations["gateway/2"], 6)
		w.cut = func(string, string) bool { return false }
		w.add(6, 1)
		w.run(5 * time.Second)
		Expect(w.stations["gateway/3"].version).To(Equal(uint64(9)))
	})

	It("counts a crashed process as gone, and once it is back as live", func() {
		w := newNetwork(failf, 5, 8)
		w.mustAgree("start", 0, 0, time.Minute)
		s := w.stations["gateway/2"]
		s.silent = true
		for _, id := range w.order {
			w.unlink(s.id, id, true)
		}
		w.mustAgree("gone", 0, 0, 30*time.Second)
		s.silent = false
		w.mustAgree("back", 0, 0, 2*time.Minute)
	})

	It("takes a restarted process to hold nothing until it says so", func() {
		w := newNetwork(failf, 5, 2)
		w.publish(w.stations["controller/0"], 1)
		w.mustAgree("start", 1, 0, time.Minute)
		s := w.stations["gateway/0"]
		entry := s.Members()[0]
		Expect(entry.ID).To(Equal("controller/0"))
		entry.Incarnation++
		w.act(s, s.Receive(w.now, entry.ID, &spread.MemberNews{Members: []spread.Member{entry}}))
		Expect(s.Progress(1).Missing).To(Equal([]string{entry.ID}))
	})

	It("refuses a change of the fleet under an old lease", func() {
		w := newNetwork(failf, 5, 1)
		s := w.stations["gateway/0"]
		w.publishFleet(s, 2, fleet.Instance{ID: "i"})
		_, err := s.PublishFleet(w.now, 1, nil, []string{"i"})
		Expect(err).To(Equal(&spread.StaleEpochError{Epoch: 1, Newest: 2}))
	})
})

// failf fails a spec with a formatted text.
func failf(format string, args ...any) { Fail(fmt.Sprintf(format, args...)) }
