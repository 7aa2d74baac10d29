package spread

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// PublishNotices takes reclaim notices that this process learnt from the cloud.
// It needs no lease.
func (n *Node) PublishNotices(now clock.Instant, list []Notice) []Action {
	n.takeNotices(now, list, "")
	return n.flush()
}

// takeNotices passes notices on that were not known, and marks their instances.
func (n *Node) takeNotices(now clock.Instant, list []Notice, from string) {
	fresh := n.notices.add(now, list)
	if len(fresh) == 0 {
		return
	}
	n.broadcast(&NoticeNews{Notices: fresh}, from)
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

// emitFleet tells of instances in the light of the notices.
func (n *Node) emitFleet(upserts []fleet.Instance, removed []string) {
	marked := make([]fleet.Instance, 0, len(upserts))
	for _, i := range upserts {
		marked = append(marked, n.notices.mark(i))
	}
	n.emit(FleetChanged{Upserts: marked, Removed: removed})
}
