package spread

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// PublishNotices disseminates reclaim notices that this process got from the
// cloud. It needs no lease.
func (n *Node) PublishNotices(now clock.Instant, list []Notice) []Action {
	n.applyNotices(now, list, "")
	return n.flush()
}

// applyNotices forwards the notices that are new and reports their instances as
// leaving.
func (n *Node) applyNotices(now clock.Instant, list []Notice, from string) {
	fresh := n.notices.add(now, list)
	if len(fresh) == 0 {
		return
	}
	n.broadcast(&NoticeUpdate{Notices: fresh}, from)
	var changed []fleet.Instance
	for _, f := range fresh {
		if i, known := n.fleet.instances[f.Instance]; known {
			changed = append(changed, i)
		}
	}
	if len(changed) > 0 {
		n.emitFleet(changed, nil)
	}
}

// emitFleet reports a change of the fleet with the notices applied.
func (n *Node) emitFleet(upserts []fleet.Instance, removed []string) {
	marked := make([]fleet.Instance, 0, len(upserts))
	for _, i := range upserts {
		marked = append(marked, n.notices.applyTo(i))
	}
	n.emit(FleetChanged{Upserts: marked, Removed: removed})
}
