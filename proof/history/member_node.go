package history

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/member"
)

// memberNode is a process with a view of the others.
type memberNode struct {
	run      *MemberRun
	view     *member.View
	incoming map[string]clock.Instant // last message on links that others opened
	isLost   bool
}

// tick judges the others and sends the heartbeats.
func (n *memberNode) tick() {
	if n.isLost {
		return
	}
	now := n.run.world.Now()
	n.spread(n.view.Tick(now), "")
	heartbeat := n.view.Heartbeat()
	for _, to := range n.links() {
		n.run.send(to, func(m *memberNode) { m.heard(heartbeat) })
	}
	n.run.world.After(n.run.config.HeartbeatEvery, n.tick)
}

// links returns the ends of the links that this process or the other opened.
func (n *memberNode) links() []string {
	now := n.run.world.Now()
	var ends []string
	for _, p := range n.view.Neighbours(now) {
		ends = append(ends, p.Instance)
	}
	for end, at := range n.incoming {
		if now.Sub(at) < linkTimeout && !slices.Contains(ends, end) {
			ends = append(ends, end)
		}
	}
	slices.Sort(ends)
	return ends
}

func (n *memberNode) heard(h member.Heartbeat) {
	from := h.Self.Peer.Instance
	n.incoming[from] = n.run.world.Now()
	n.spread(n.view.HandleHeartbeat(h, n.run.world.Now()), from)
	if reply, ok := n.view.Reply(h); ok {
		n.run.send(from, func(m *memberNode) { m.merge(reply, "") })
	}
}

func (n *memberNode) merge(u member.Update, from string) {
	n.spread(n.view.Merge(u, n.run.world.Now()), from)
}

// spread tells updates on over all links but the one that they came on.
func (n *memberNode) spread(updates []member.Update, from string) {
	if len(updates) == 0 {
		return
	}
	self := n.view.Self().Peer.Instance
	for _, to := range n.links() {
		if to == from {
			continue
		}
		for _, u := range updates {
			n.run.send(to, func(m *memberNode) { m.merge(u, self) })
		}
	}
}
