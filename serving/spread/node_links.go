package spread

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// unreachableFactor multiplies GoneAfter for a member that this node never
	// had a link to.
	unreachableFactor = 2
	// expectedProbers is the number of processes that probe in each interval on
	// average, regardless of the size of the system.
	expectedProbers = 8
	// minLinks is the number of links below which the node connects to the
	// seeds.
	minLinks = 2
)

// suspect starts the timeout after which an unlinked member is declared gone.
// A suspicion of the same incarnation stays as it is.
func (n *Node) suspect(now clock.Instant, id string, wasLinked bool) {
	m, ok := n.members.members[id]
	if !ok || m.State == Gone {
		return
	}
	if s, ok := n.suspicions[id]; ok && s.incarnation == m.Incarnation {
		return
	}
	wait := n.config.GoneAfter
	if !wasLinked {
		wait *= unreachableFactor
	}
	n.suspicions[id] = &suspicion{incarnation: m.Incarnation, deadline: now.Add(wait), wasLinked: wasLinked}
}

// compensateForPause extends the timeouts of peers after this process itself
// was paused, for example by SIGSTOP, so that it doesn't suspect peers whose
// messages it could not read.
func (n *Node) compensateForPause(now clock.Instant) {
	pause := now.Sub(n.tickedAt)
	if pause < n.config.SuspectAfter {
		return
	}
	for _, p := range n.peers {
		p.lastMessageAt = now
	}
	for _, s := range n.suspicions {
		s.deadline = s.deadline.Add(pause)
	}
}

func (n *Node) dropSilent(now clock.Instant) {
	for id, p := range n.peers {
		if now.Sub(p.lastMessageAt) > n.config.SuspectAfter {
			n.emit(DropLink{ID: id})
		}
	}
}

func (n *Node) declareGone(now clock.Instant) {
	for id, s := range n.suspicions {
		m, ok := n.members.members[id]
		if !ok {
			delete(n.suspicions, id)
			continue
		}
		if s.isDeclared || now.Before(s.deadline) || m.Incarnation != s.incarnation {
			continue
		}
		s.isDeclared = true
		if m.State != Gone {
			n.propagateMembers(now, []Member{n.members.setState(now, id, Gone)}, "")
		}
	}
}

// propagateMembers reports changed members to the caller and to the peers.
func (n *Node) propagateMembers(now clock.Instant, changed []Member, from string) {
	if len(changed) == 0 {
		return
	}
	for _, m := range changed {
		if m.State == Gone {
			n.reports.remove(m)
		}
	}
	n.emit(MembersChanged{Changed: changed})
	n.broadcast(&MemberUpdate{Members: changed}, n.excludedPeer(changed, from))
	n.updateTargets(now)
}

// forgetRestarted drops the reports of processes that have restarted: a new
// incarnation has no configuration until it reports one.
func (n *Node) forgetRestarted(updates []Member) {
	for _, m := range updates {
		if old, ok := n.members.members[m.ID]; ok && m.Incarnation > old.Incarnation {
			n.reports.remove(old)
		}
	}
}

// excludedPeer returns the peer that needs no copy of changed members: the
// sender, unless this node refuted what it said about the node itself.
func (n *Node) excludedPeer(changed []Member, from string) string {
	for _, m := range changed {
		if m.ID == n.members.self {
			return ""
		}
	}
	return from
}

// chooseProbe picks a random seed or gone member to connect to, which rejoins
// groups of processes that have lost all links between each other. Each process
// probes with a probability that keeps the expected number of probes in the
// whole system at expectedProbers.
func (n *Node) chooseProbe() {
	n.probe = Target{}
	if n.random.IntN(max(n.members.presentCount(), 1)) >= expectedProbers {
		return
	}
	candidates := n.unknownSeeds()
	for id := range n.members.goneAt {
		m := n.members.members[id]
		candidates = append(candidates, Target{ID: id, Address: m.LinkAddress})
	}
	if len(candidates) > 0 {
		n.probe = candidates[n.random.IntN(len(candidates))]
	}
}

// unknownSeeds returns the seeds that are not the address of any member, other
// than a gone one.
func (n *Node) unknownSeeds() []Target {
	var out []Target
	for _, address := range n.config.Seeds {
		if !n.isPresentAddress(address) {
			out = append(out, Target{Address: address})
		}
	}
	return out
}

func (n *Node) isPresentAddress(address string) bool {
	for _, m := range n.members.members {
		if m.LinkAddress == address && m.State != Gone {
			return true
		}
	}
	return false
}

// updateTargets computes the targets, emits them if they have changed and
// suspects chosen members that there is no link to.
func (n *Node) updateTargets(now clock.Instant) {
	var targets []Target
	for _, m := range ChoosePeers(n.members.self, n.members.all(), n.config.Links) {
		targets = append(targets, Target{ID: m.ID, Address: m.LinkAddress})
		if n.peers[m.ID] == nil {
			n.suspect(now, m.ID, false)
		}
	}
	for _, extra := range n.extraTargets() {
		isKnown := func(t Target) bool { return t.Address == extra.Address }
		if extra.Address != "" && !slices.ContainsFunc(targets, isKnown) {
			targets = append(targets, extra)
		}
	}
	n.clearSuspicions(targets)
	if !slices.Equal(targets, n.targets) {
		n.targets = targets
		n.emit(SetTargets{Targets: targets})
	}
}

// clearSuspicions drops the undeclared suspicions of members that were never
// linked and are no longer targets.
func (n *Node) clearSuspicions(targets []Target) {
	for id, s := range n.suspicions {
		isTarget := func(t Target) bool { return t.ID == id }
		if !s.wasLinked && !s.isDeclared && !slices.ContainsFunc(targets, isTarget) {
			delete(n.suspicions, id)
		}
	}
}

// extraTargets returns the probe, and the seeds too while there are few links
// or a peer is not in the list of members yet.
func (n *Node) extraTargets() []Target {
	extra := []Target{n.probe}
	others := n.members.presentCount() - 1
	if others == 0 || len(n.peers) < min(minLinks, others) || n.hasUnknownPeer() {
		own := n.members.members[n.members.self].LinkAddress
		for _, address := range n.config.Seeds {
			if address != own {
				extra = append(extra, Target{Address: address})
			}
		}
	}
	return extra
}

// hasUnknownPeer reports whether some peer is not in the list of members yet.
// The link to it may be one to a seed, whose target must be kept until the
// member behind the address is known.
func (n *Node) hasUnknownPeer() bool {
	for id := range n.peers {
		if _, known := n.members.members[id]; !known {
			return true
		}
	}
	return false
}
