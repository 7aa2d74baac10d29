package spread

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Node is the state of one process. It is used by one thread. Every method
// that takes an event returns what is to be done.
type Node struct {
	config        Config
	random        *rand.Rand
	configuration *intent.Configuration
	fleet         *fleetView
	notices       *notices
	members       *memberList
	reports       *reports
	peers         map[string]*peer
	absences      map[string]*absence
	pulls         map[Topic]*pull
	targets       []Target
	probe         Target
	tickedAt      clock.Instant
	heartbeatAt   clock.Instant
	probeAt       clock.Instant
	reportAt      clock.Instant
	out           []Action
}

// NewNode makes the state of a process that starts at now.
func NewNode(config Config, self Member, now clock.Instant, random *rand.Rand) *Node {
	self.State = Live
	n := &Node{
		config:        config.withDefaults(),
		random:        random,
		configuration: &intent.Configuration{},
		fleet:         newFleetView(),
		notices:       newNotices(),
		members:       newMemberList(self),
		reports:       newReports(),
		peers:         make(map[string]*peer),
		absences:      make(map[string]*absence),
		pulls:         map[Topic]*pull{TopicConfiguration: {}, TopicFleet: {}},
		tickedAt:      now,
	}
	n.heartbeatAt = now.Add(n.config.Heartbeat)
	n.probeAt = now.Add(n.config.ProbeEvery)
	return n
}

// Start returns the first actions.
func (n *Node) Start(now clock.Instant) []Action {
	n.retarget(now)
	return n.flush()
}

// Up takes that there is a link to a peer.
func (n *Node) Up(now clock.Instant, id string) []Action {
	n.peers[id] = &peer{id: id, heardAt: now, known: make(map[uint64]bool)}
	delete(n.absences, id)
	n.send(id, n.heartbeat())
	if known := n.notices.all(); len(known) > 0 {
		n.send(id, &NoticeNews{Notices: known})
	}
	n.retarget(now)
	return n.flush()
}

// Down takes that a link has ended. It is lost unless one side released it.
func (n *Node) Down(now clock.Instant, id string, isLost bool) []Action {
	delete(n.peers, id)
	if isLost {
		n.watch(now, id, true)
	}
	for _, p := range n.pulls {
		if p.from == id {
			p.from = ""
		}
	}
	n.pullAll(now)
	n.retarget(now)
	return n.flush()
}

// Receive takes a message from a peer.
func (n *Node) Receive(now clock.Instant, from string, m Message) []Action {
	p, ok := n.peers[from]
	if !ok {
		return nil
	}
	p.heardAt = now
	switch m := m.(type) {
	case *Heartbeat:
		n.onHeartbeat(now, p, m)
	case *Ask:
		n.onAsk(p, m)
	case *ConfigurationNews:
		if m.Configuration != nil {
			n.takeConfiguration(now, m.Configuration, from)
		}
	case *ConfigurationReport:
		n.onReport(now, p, m)
	case *FleetDelta:
		n.onDelta(now, from, m)
	case *FleetSnapshot:
		n.onSnapshot(now, from, m)
	case *NoticeNews:
		n.takeNotices(now, m.Notices, from)
	case *MemberNews:
		n.forgetRestarted(m.Members)
		n.takeMembers(now, n.members.merge(now, m.Members), from)
	}
	return n.flush()
}

// PublishConfiguration takes a confirmed configuration that this process read
// from the store. One that is not higher than the present one changes nothing.
func (n *Node) PublishConfiguration(now clock.Instant, c *intent.Configuration) []Action {
	n.takeConfiguration(now, c, "")
	return n.flush()
}

// PublishFleet takes a change of the fleet, made by the holder of the lease
// with the given fencing number. It fails with a *StaleEpochError.
func (n *Node) PublishFleet(_ clock.Instant, epoch uint64, upserts []fleet.Instance, removed []string) ([]Action, error) {
	d, err := n.fleet.publish(epoch, upserts, removed)
	if err != nil || d == nil {
		return nil, err
	}
	n.emitFleet(d.Upserts, d.Removed)
	n.broadcast(d, "")
	return n.flush(), nil
}

// SetState says that this process is leaving or gone.
func (n *Node) SetState(now clock.Instant, state State) []Action {
	m := n.members.setState(now, n.members.self, state)
	n.takeMembers(now, []Member{m}, "")
	return n.flush()
}

// Tick does what is due.
func (n *Node) Tick(now clock.Instant) []Action {
	n.forgivePause(now)
	n.tickedAt = now
	n.dropSilent(now)
	n.declareGone(now)
	n.members.forget(now, n.config.ForgetAfter)
	n.notices.forget(now)
	if !now.Before(n.heartbeatAt) {
		n.heartbeatAt = now.Add(n.config.Heartbeat)
		n.broadcast(n.heartbeat(), "")
	}
	if n.reportAt != 0 && !now.Before(n.reportAt) {
		n.sendReports()
	}
	if !now.Before(n.probeAt) {
		n.probeAt = now.Add(n.config.ProbeEvery)
		n.chooseProbe()
	}
	n.pullAll(now)
	n.retarget(now)
	return n.flush()
}

// Next returns the time until Tick must be called.
func (n *Node) Next(now clock.Instant) time.Duration {
	next := n.heartbeatAt
	if n.reportAt != 0 && n.reportAt.Before(next) {
		next = n.reportAt
	}
	for _, p := range n.pulls {
		if p.from != "" && p.deadline.Before(next) {
			next = p.deadline
		}
	}
	return max(next.Sub(now), 0)
}

// Configuration returns the newest configuration; its version is 0 before the
// first.
func (n *Node) Configuration() *intent.Configuration {
	return n.configuration
}

// FleetPosition returns the position of the view of the fleet.
func (n *Node) FleetPosition() Position {
	return n.fleet.position
}

// Members returns all members, ordered by identity.
func (n *Node) Members() []Member {
	return slices.SortedFunc(maps.Values(n.members.members), func(a, b Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// Progress says which processes have a version.
func (n *Node) Progress(version uint64) Progress {
	p := Progress{Version: version}
	for _, m := range n.Members() {
		switch {
		case n.reports.highest[hashOf(m.ID)] >= version:
			p.Holders = append(p.Holders, m.ID)
		case m.State != Gone:
			p.Missing = append(p.Missing, m.ID)
		}
	}
	return p
}

// Summary returns the state for the dump.
func (n *Node) Summary() Summary {
	return Summary{
		Configuration: n.configuration.Version,
		Reported:      len(n.reports.holders),
		ReportVersion: n.reports.version,
		Fleet:         n.fleet.position,
		Instances:     len(n.fleet.instances),
		Peers:         slices.Sorted(maps.Keys(n.peers)),
		Targets:       slices.Clone(n.targets),
		Members:       n.Members(),
	}
}

func (n *Node) emit(a Action) {
	n.out = append(n.out, a)
}

func (n *Node) send(to string, m Message) {
	n.emit(Send{To: to, Message: m})
}

// broadcast sends to all peers but one.
func (n *Node) broadcast(m Message, except string) {
	for id := range n.peers {
		if id != except {
			n.send(id, m)
		}
	}
}

func (n *Node) flush() []Action {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) heartbeat() *Heartbeat {
	return &Heartbeat{
		Configuration: n.configuration.Version,
		ReportVersion: n.reports.version,
		Reports:       n.reports.digest(),
		Fleet:         n.fleet.position,
		Members:       n.members.digest,
	}
}
