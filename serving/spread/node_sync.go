package spread

import (
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// mismatchesToSync is the number of consecutive heartbeats that must differ
// before a node requests members or reports. After one it would also request
// updates that are in flight already. For members, the first heartbeat of a
// link suffices.
const mismatchesToSync = 2

func (n *Node) onHeartbeat(now clock.Instant, p *peer, h *Heartbeat) {
	p.lastHeartbeat = *h
	isFirst := !p.hasHeartbeat
	p.hasHeartbeat = true
	if h.Members == n.members.digest {
		p.memberMismatches = 0
	} else {
		p.memberMismatches++
	}
	if isFirst && p.memberMismatches > 0 || p.memberMismatches >= mismatchesToSync {
		p.memberMismatches = 0
		n.send(p.id, &SyncRequest{Topic: TopicMembers})
	}
	if n.mayLackReports(h) {
		p.reportMismatches++
	} else {
		p.reportMismatches = 0
	}
	if p.reportMismatches >= mismatchesToSync {
		p.reportMismatches = 0
		n.send(p.id, &SyncRequest{Topic: TopicReports})
	}
	n.pullAll(now)
}

// mayLackReports reports whether a peer may know holders that this node does
// not. It compares digests because sets of the same size can differ.
func (n *Node) mayLackReports(h *Heartbeat) bool {
	if h.ReportVersion != n.reports.version {
		return h.ReportVersion > n.reports.version
	}
	return h.Reports != n.reports.digest()
}

// pullAll requests the configuration and the view of the fleet if some peer has
// a newer one.
func (n *Node) pullAll(now clock.Instant) {
	n.pull(now, TopicConfiguration, func(h *Heartbeat) bool {
		return h.Configuration > n.configuration.Version
	})
	n.pull(now, TopicFleet, func(h *Heartbeat) bool {
		return n.fleet.position.Before(h.Fleet)
	})
}

// pull sends a SyncRequest to a random peer that is ahead. Once that times out,
// it asks another one if there is any.
func (n *Node) pull(now clock.Instant, topic Topic, isAhead func(*Heartbeat) bool) {
	current := n.pulls[topic]
	if current.isPending(now) {
		return
	}
	var ahead []string
	for id, p := range n.peers {
		if isAhead(&p.lastHeartbeat) {
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
	current.deadline = now.Add(n.config.RequestTimeout)
	n.send(current.from, &SyncRequest{Topic: topic, Fleet: n.fleet.position})
}

func (n *Node) onSyncRequest(p *peer, r *SyncRequest) {
	switch r.Topic {
	case TopicConfiguration:
		if n.configuration.Version > 0 {
			n.send(p.id, &ConfigurationUpdate{Configuration: n.configuration})
		}
	case TopicFleet:
		for _, m := range n.fleet.updatesSince(r.Fleet) {
			n.send(p.id, m)
		}
	case TopicMembers:
		n.send(p.id, &MemberUpdate{Members: n.members.all()})
	case TopicReports:
		n.sendAllHolders(p)
	}
}

// applyConfiguration installs a higher version and announces it by a heartbeat,
// upon which the peers that lack it request it.
func (n *Node) applyConfiguration(now clock.Instant, c *intent.Configuration, from string) {
	if c.Version <= n.configuration.Version {
		return
	}
	n.configuration = c
	n.pulls[TopicConfiguration].from = ""
	n.emit(ConfigurationChanged{Configuration: c, From: from})
	n.reportSelf(now)
	n.broadcast(n.heartbeat(), from)
	n.pullAll(now)
}

func (n *Node) onReport(now clock.Instant, p *peer, r *ConfigurationReport) {
	index := n.members.index()
	holders := index.present(r.Holders)
	if r.Members == index.digest {
		holders = slices.Concat(holders, index.holders(r.Bitmap))
	}
	n.addReport(now, r.Version, holders)
	p.addKnownHolders(r.Version, holders)
}

// reportSelf records the version that this process holds. It has another name once it
// has refuted that it has restarted.
func (n *Node) reportSelf(now clock.Instant) {
	if n.configuration.Version > 0 {
		self := n.members.members[n.members.self]
		n.addReport(now, n.configuration.Version, []uint64{self.holderName()})
	}
}

// addReport records holders of a version and schedules sendReports if some are
// new.
func (n *Node) addReport(now clock.Instant, version uint64, holders []uint64) {
	if n.reports.add(version, holders) && n.reportAt == 0 {
		n.reportAt = now.Add(n.config.ReportDelay)
	}
}

// sendReports sends the holders to each peer that may lack some. A peer with
// another list of members can't read the bitmap; its digest of the reports
// stays different, so it sends a SyncRequest later.
func (n *Node) sendReports() {
	n.reportAt = 0
	index := n.members.index()
	report := &ConfigurationReport{
		Version: n.reports.version,
		Members: index.digest,
		Bitmap:  index.bitmap(n.reports.holders),
	}
	holders := index.holders(report.Bitmap)
	for _, p := range n.peers {
		p.addKnownHolders(n.reports.version, nil)
		if p.mayLack(holders) {
			p.addKnownHolders(n.reports.version, holders)
			n.send(p.id, report)
		}
	}
}

// sendAllHolders sends a peer the names of all holders, which it can read
// whatever its list of members.
func (n *Node) sendAllHolders(p *peer) {
	holders := slices.Collect(maps.Keys(n.reports.holders))
	p.addKnownHolders(n.reports.version, holders)
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
		n.recordFleetPosition(from, d.Position)
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

// recordFleetPosition records that a peer has reached a position.
func (n *Node) recordFleetPosition(id string, position FleetPosition) {
	if p := n.peers[id]; p.lastHeartbeat.Fleet.Before(position) {
		p.lastHeartbeat.Fleet = position
	}
}
