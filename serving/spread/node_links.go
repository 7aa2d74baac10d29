package spread

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// unreachableFactor makes a member that was never linked to wait longer than
	// a lost one before it counts as gone.
	unreachableFactor = 2
	// probersAtOnce is how many processes on average probe at each interval.
	probersAtOnce = 8
	// minLinks is the number of links below which the seeds are tried.
	minLinks = 2
)

// watch starts the time after which an absent member counts as gone.
func (n *Node) watch(now clock.Instant, id string, wasLinked bool) {
	m, ok := n.members.members[id]
	if !ok || m.State == Gone {
		return
	}
	if a, ok := n.absences[id]; ok && a.incarnation == m.Incarnation {
		return
	}
	wait := n.config.GoneAfter
	if !wasLinked {
		wait *= unreachableFactor
	}
	n.absences[id] = &absence{incarnation: m.Incarnation, deadline: now.Add(wait), wasLinked: wasLinked}
}

// forgivePause keeps a process that was stopped from taking its own pause for
// the silence of others.
func (n *Node) forgivePause(now clock.Instant) {
	pause := now.Sub(n.tickedAt)
	if pause < n.config.SuspectAfter {
		return
	}
	for _, p := range n.peers {
		p.heardAt = now
	}
	for _, a := range n.absences {
		a.deadline = a.deadline.Add(pause)
	}
}

func (n *Node) dropSilent(now clock.Instant) {
	for id, p := range n.peers {
		if now.Sub(p.heardAt) > n.config.SuspectAfter {
			n.emit(Drop{ID: id})
		}
	}
}

func (n *Node) declareGone(now clock.Instant) {
	for id, a := range n.absences {
		m, ok := n.members.members[id]
		if !ok {
			delete(n.absences, id)
			continue
		}
		if a.declared || now.Before(a.deadline) || m.Incarnation != a.incarnation {
			continue
		}
		a.declared = true
		if m.State != Gone {
			n.takeMembers(now, []Member{n.members.setState(now, id, Gone)}, "")
		}
	}
}

// takeMembers passes changed members on.
func (n *Node) takeMembers(now clock.Instant, changed []Member, from string) {
	if len(changed) == 0 {
		return
	}
	for _, m := range changed {
		if m.State == Gone {
			n.reports.forget(m.ID)
		}
	}
	n.emit(MembersChanged{Changed: changed})
	n.broadcast(&MemberNews{Members: changed}, n.echoExcept(changed, from))
	n.retarget(now)
}

// forgetRestarted drops the reports of processes that have restarted: they
// hold nothing until they say so.
func (n *Node) forgetRestarted(news []Member) {
	for _, m := range news {
		if old, ok := n.members.members[m.ID]; ok && m.Incarnation > old.Incarnation {
			n.reports.forget(m.ID)
		}
	}
}

// echoExcept returns the peer that needs no copy of changed members: the one
// that they came from, unless this node has contradicted it.
func (n *Node) echoExcept(changed []Member, from string) string {
	for _, m := range changed {
		if m.ID == n.members.self {
			return ""
		}
	}
	return from
}

// chooseProbe picks an address that may belong to processes that are not among
// the members. On average a fixed number of processes do so at each interval.
func (n *Node) chooseProbe() {
	n.probe = Target{}
	if n.random.IntN(max(n.members.present(), 1)) >= probersAtOnce {
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

// unknownSeeds returns the seeds that no present member has as its address.
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

// retarget works out the wanted links and emits them when they have changed.
func (n *Node) retarget(now clock.Instant) {
	var targets []Target
	for _, m := range Choose(n.members.self, n.members.all(), n.config.Links) {
		targets = append(targets, Target{ID: m.ID, Address: m.LinkAddress})
		if n.peers[m.ID] == nil {
			n.watch(now, m.ID, false)
		}
	}
	for _, extra := range n.extraTargets() {
		isKnown := func(t Target) bool { return t.Address == extra.Address }
		if extra.Address != "" && !slices.ContainsFunc(targets, isKnown) {
			targets = append(targets, extra)
		}
	}
	n.stopWatching(targets)
	if !slices.Equal(targets, n.targets) {
		n.targets = targets
		n.emit(SetTargets{Targets: targets})
	}
}

// stopWatching drops the absences of members that this node no longer tries to
// reach and never had a link to.
func (n *Node) stopWatching(targets []Target) {
	for id, a := range n.absences {
		isTarget := func(t Target) bool { return t.ID == id }
		if !a.wasLinked && !a.declared && !slices.ContainsFunc(targets, isTarget) {
			delete(n.absences, id)
		}
	}
}

// extraTargets are the probe, and the seeds while there are few links.
func (n *Node) extraTargets() []Target {
	extra := []Target{n.probe}
	others := n.members.present() - 1
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

// hasUnknownPeer reports whether a linked process has not told its membership
// yet. Until it has, the link may be one to a seed, which must be kept.
func (n *Node) hasUnknownPeer() bool {
	for id := range n.peers {
		if _, known := n.members.members[id]; !known {
			return true
		}
	}
	return false
}
