package spread

import (
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// mismatchesToAsk is how many heartbeats in succession must differ before a
// node asks, so that news under way is not asked for as well.
const mismatchesToAsk = 2

func (n *Node) onHeartbeat(now clock.Instant, p *peer, h *Heartbeat) {
	p.last = *h
	isFirst := !p.isSynced
	p.isSynced = true
	if h.Members == n.members.digest {
		p.memberMismatches = 0
	} else {
		p.memberMismatches++
	}
	if isFirst && p.memberMismatches > 0 || p.memberMismatches >= mismatchesToAsk {
		p.memberMismatches = 0
		n.send(p.id, &Ask{Topic: TopicMembers})
	}
	if n.lacksReports(h) {
		p.reportMismatches++
	} else {
		p.reportMismatches = 0
	}
	if p.reportMismatches >= mismatchesToAsk {
		p.reportMismatches = 0
		n.send(p.id, &Ask{Topic: TopicReports})
	}
	n.pullAll(now)
}

// lacksReports reports whether a peer may know of holders that this node does
// not. Two sets of the same size can differ, so their digests are compared.
func (n *Node) lacksReports(h *Heartbeat) bool {
	if h.ReportVersion != n.reports.version {
		return h.ReportVersion > n.reports.version
	}
	return h.Reports != n.reports.digest()
}

// pullAll asks for what some peer has and this node lacks.
func (n *Node) pullAll(now clock.Instant) {
	n.pull(now, TopicConfiguration, func(h *Heartbeat) bool {
		return h.Configuration > n.configuration.Version
	})
	n.pull(now, TopicFleet, func(h *Heartbeat) bool {
		return n.fleet.position.Before(h.Fleet)
	})
}

// pull asks one peer that is ahead, and another one after a timeout.
func (n *Node) pull(now clock.Instant, topic Topic, isAhead func(*Heartbeat) bool) {
	current := n.pulls[topic]
	if current.isPending(now) {
		return
	}
	var ahead []string
	for id, p := range n.peers {
		if isAhead(&p.last) {
			ahead = append(ahead, id)
		}
	}
	if len(ahead) > 1 {
		ahead = slices.DeleteFunc(ahead, func(id string) bool { return id == current.from })
	}
	if len(ahead) == 0 {
		current.from = ""
		return
	}
	slices.Sort(ahead)
	current.from = ahead[n.random.IntN(len(ahead))]
	current.deadline = now.Add(n.config.AskTimeout)
	n.send(current.from, &Ask{Topic: topic, Fleet: n.fleet.position})
}

func (n *Node) onAsk(p *peer, a *Ask) {
	switch a.Topic {
	case TopicConfiguration:
		if n.configuration.Version > 0 {
			n.send(p.id, &ConfigurationNews{Configuration: n.configuration})
		}
	case TopicFleet:
		for _, m := range n.fleet.since(a.Fleet) {
			n.send(p.id, m)
		}
	case TopicMembers:
		n.send(p.id, &MemberNews{Members: n.members.all()})
	case TopicReports:
		n.sendHolders(p)
	}
}

// takeConfiguration takes a higher version and tells all peers of it at once.
func (n *Node) takeConfiguration(now clock.Instant, c *intent.Configuration, from string) {
	if c.Version <= n.configuration.Version {
		return
	}
	n.configuration = c
	n.pulls[TopicConfiguration].from = ""
	n.emit(ConfigurationChanged{Configuration: c, From: from})
	n.addReport(now, c.Version, []uint64{hashOf(n.members.self)})
	n.broadcast(n.heartbeat(), from)
	n.pullAll(now)
}

func (n *Node) onReport(now clock.Instant, p *peer, r *ConfigurationReport) {
	holders := r.Holders
	if roll := n.members.roll(); r.Members == roll.digest {
		holders = slices.Concat(holders, roll.holders(r.Places))
	}
	n.addReport(now, r.Version, holders)
	p.knows(r.Version, holders)
}

// addReport plans to pass on what was new.
func (n *Node) addReport(now clock.Instant, version uint64, holders []uint64) {
	if n.reports.add(version, holders) && n.reportAt == 0 {
		n.reportAt = now.Add(n.config.ReportDelay)
	}
}

// sendReports tells each peer of the holders that it is not known to know of.
// A peer with another list of members asks for them later.
func (n *Node) sendReports() {
	n.reportAt = 0
	roll := n.members.roll()
	report := &ConfigurationReport{
		Version: n.reports.version,
		Members: roll.digest,
		Places:  roll.places(n.reports.holders),
	}
	told := roll.holders(report.Places)
	for _, p := range n.peers {
		p.knows(n.reports.version, nil)
		if p.lacks(told) {
			p.knows(n.reports.version, told)
			n.send(p.id, report)
		}
	}
}

// sendHolders tells a peer of all holders, whatever its list of members.
func (n *Node) sendHolders(p *peer) {
	holders := slices.Collect(maps.Keys(n.reports.holders))
	p.knows(n.reports.version, holders)
	n.send(p.id, &ConfigurationReport{Version: n.reports.version, Holders: holders})
}

func (n *Node) onDelta(now clock.Instant, from string, d *FleetDelta) {
	if n.fleet.apply(d) {
		n.pulls[TopicFleet].from = ""
		n.emitFleet(d.Upserts, d.Removed)
		n.broadcast(d, from)
		return
	}
	if n.fleet.position.Before(d.Position) {
		n.noteFleet(from, d.Position)
		n.pullAll(now)
	}
}

func (n *Node) onSnapshot(now clock.Instant, from string, s *FleetSnapshot) {
	changed := n.fleet.replace(s)
	if changed == nil {
		return
	}
	n.pulls[TopicFleet].from = ""
	n.emitFleet(changed.Upserts, changed.Removed)
	n.broadcast(n.heartbeat(), from)
	n.pullAll(now)
}

// noteFleet keeps the position that a peer is known to have reached.
func (n *Node) noteFleet(id string, position Position) {
	if p := n.peers[id]; p.last.Fleet.Before(position) {
		p.last.Fleet = position
	}
}
