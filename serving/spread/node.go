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

// Node is the gossip state machine of one process. One thread owns it. Methods
// that take an event return the actions that the caller must perform, in order.
type Node struct {
	config        Config
	random        *rand.Rand
	configuration *intent.Configuration
	fleet         *fleetView
	notices       *notices
	members       *memberList
	reports       *reports
	peers         map[string]*peer
	suspicions    map[string]*suspicion
	pulls         map[Topic]*pull
	// targets are those last emitted.
	targets []Target
	// probe is the current extra target; empty if this node does not probe.
	probe Target
	// tickedAt is the time of the last Tick.
	tickedAt clock.Instant
	// heartbeatAt, probeAt and reportAt are when these are due. reportAt is 0
	// while no report is to be sent.
	heartbeatAt clock.Instant
	probeAt     clock.Instant
	reportAt    clock.Instant
	// out are the actions of the current event.
	out []Action
}

// NewNode returns the node of the process self, which starts at now. random
// chooses the peers that requests go to and the addresses that are probed.
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
		suspicions:    make(map[string]*suspicion),
		pulls:         map[Topic]*pull{TopicConfiguration: {}, TopicFleet: {}},
		tickedAt:      now,
	}
	n.heartbeatAt = now.Add(n.config.HeartbeatInterval)
	n.probeAt = now.Add(n.config.ProbeInterval)
	return n
}

// Start returns the first actions.
func (n *Node) Start(now clock.Instant) []Action {
	n.updateTargets(now)
	return n.flush()
}

// LinkUp handles a new link to a peer.
func (n *Node) LinkUp(now clock.Instant, id string) []Action {
	n.peers[id] = &peer{id: id, lastMessageAt: now, knownHolders: make(map[uint64]bool)}
	delete(n.suspicions, id)
	n.send(id, n.heartbeat())
	if known := n.notices.all(); len(known) > 0 {
		n.send(id, &NoticeUpdate{Notices: known})
	}
	n.updateTargets(now)
	return n.flush()
}

// LinkDown handles the end of a link. isLost is false if one side released the
// link on purpose; otherwise the peer is suspected to have failed.
func (n *Node) LinkDown(now clock.Instant, id string, isLost bool) []Action {
	delete(n.peers, id)
	if isLost {
		n.suspect(now, id, true)
	}
	for _, p := range n.pulls {
		if p.from == id {
			p.from = ""
		}
	}
	n.pullAll(now)
	n.updateTargets(now)
	return n.flush()
}

// Receive handles a message from a peer. It ignores messages of processes that
// are not linked.
func (n *Node) Receive(now clock.Instant, from string, m Message) []Action {
	p, ok := n.peers[from]
	if !ok {
		return nil
	}
	p.lastMessageAt = now
	switch m := m.(type) {
	case *Heartbeat:
		n.onHeartbeat(now, p, m)
	case *SyncRequest:
		n.onSyncRequest(p, m)
	case *ConfigurationUpdate:
		if m.Configuration != nil {
			n.applyConfiguration(now, m.Configuration, from)
		}
	case *ConfigurationReport:
		n.onReport(now, p, m)
	case *FleetDelta:
		n.onDelta(now, from, m)
	case *FleetSnapshot:
		n.onSnapshot(now, from, m)
	case *NoticeUpdate:
		n.applyNotices(now, m.Notices, from)
	case *MemberUpdate:
		n.forgetRestarted(m.Members)
		n.propagateMembers(now, n.members.merge(now, m.Members), from)
		n.reportSelf(now)
	}
	return n.flush()
}

// PublishConfiguration disseminates a confirmed configuration that this process
// read from the store. It does nothing if the node has the version already or a
// higher one.
func (n *Node) PublishConfiguration(now clock.Instant, c *intent.Configuration) []Action {
	n.applyConfiguration(now, c, "")
	return n.flush()
}

// PublishFleet disseminates a change of the fleet that this process made under
// the lease with the fencing number epoch. It returns a *StaleEpochError if a
// higher fencing number is known.
func (n *Node) PublishFleet(_ clock.Instant, epoch uint64, upserts []fleet.Instance, removed []string) ([]Action, error) {
	d, err := n.fleet.publish(epoch, upserts, removed)
	if err != nil || d == nil {
		return nil, err
	}
	n.emitFleet(d.Upserts, d.Removed)
	n.broadcast(d, "")
	return n.flush(), nil
}

// SetState announces that this process is leaving or gone.
func (n *Node) SetState(now clock.Instant, state MemberState) []Action {
	m := n.members.setState(now, n.members.self, state)
	n.propagateMembers(now, []Member{m}, "")
	return n.flush()
}

// Tick runs the timers that are due. UntilNextTick tells when to call it.
func (n *Node) Tick(now clock.Instant) []Action {
	n.compensateForPause(now)
	n.tickedAt = now
	n.dropSilent(now)
	n.declareGone(now)
	n.members.expire(now, n.config.ForgetAfter)
	n.notices.expire(now)
	if !now.Before(n.heartbeatAt) {
		n.heartbeatAt = now.Add(n.config.HeartbeatInterval)
		n.broadcast(n.heartbeat(), "")
	}
	if n.reportAt != 0 && !now.Before(n.reportAt) {
		n.sendReports()
	}
	if !now.Before(n.probeAt) {
		n.probeAt = now.Add(n.config.ProbeInterval)
		n.chooseProbe()
	}
	n.pullAll(now)
	n.updateTargets(now)
	return n.flush()
}

// UntilNextTick returns the time until Tick must be called; 0 if it is due.
func (n *Node) UntilNextTick(now clock.Instant) time.Duration {
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

// Configuration returns the newest configuration. Its version is 0 until the
// first one is known.
func (n *Node) Configuration() *intent.Configuration {
	return n.configuration
}

// FleetPosition returns the position of the view of the fleet.
func (n *Node) FleetPosition() FleetPosition {
	return n.fleet.position
}

// Members returns all members, gone ones included, ordered by ID.
func (n *Node) Members() []Member {
	return slices.SortedFunc(maps.Values(n.members.members), func(a, b Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// Progress returns which members hold a configuration version.
func (n *Node) Progress(version uint64) Progress {
	p := Progress{Version: version}
	for _, m := range n.Members() {
		switch {
		case n.reports.highest[m.holderName()] >= version:
			p.Holders = append(p.Holders, m.ID)
		case m.State != Gone:
			p.Missing = append(p.Missing, m.ID)
		}
	}
	return p
}

// Summary returns the state for the state dump.
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

// broadcast sends a message to all peers except one; "" excludes none.
func (n *Node) broadcast(m Message, except string) {
	for id := range n.peers {
		if id != except {
			n.send(id, m)
		}
	}
}

// flush returns the actions collected since the last call.
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
