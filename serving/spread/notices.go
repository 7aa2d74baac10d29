package spread

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// noticeRetention is how long a notice is remembered. It is longer than the
// time from a notice to the end of its instance.
const noticeRetention = 30 * time.Minute

// notices are the reclaim notices known, by instance.
type notices struct {
	ends    map[string]time.Time
	forgets map[string]clock.Instant
}

func newNotices() *notices {
	return &notices{ends: make(map[string]time.Time), forgets: make(map[string]clock.Instant)}
}

// add returns those that were not known.
func (s *notices) add(now clock.Instant, list []Notice) []Notice {
	var fresh []Notice
	for _, n := range list {
		if _, known := s.ends[n.Instance]; known {
			continue
		}
		s.ends[n.Instance] = n.Ends
		s.forgets[n.Instance] = now.Add(noticeRetention)
		fresh = append(fresh, n)
	}
	return fresh
}

// all lists the notices.
func (s *notices) all() []Notice {
	list := make([]Notice, 0, len(s.ends))
	for id, ends := range s.ends {
		list = append(list, Notice{Instance: id, Ends: ends})
	}
	return list
}

// forget drops what is older than the retention.
func (s *notices) forget(now clock.Instant) {
	for id, at := range s.forgets {
		if !now.Before(at) {
			delete(s.ends, id)
			delete(s.forgets, id)
		}
	}
}

// mark returns an instance as it is in the light of the notices: one that was
// noticed is leaving, whatever a list says that is older than the notice.
func (s *notices) mark(i fleet.Instance) fleet.Instance {
	ends, noticed := s.ends[i.ID]
	if !noticed || (i.State != fleet.Live && i.State != fleet.Starting) {
		return i
	}
	i.State = fleet.Leaving
	i.Ends = ends
	return i
}
