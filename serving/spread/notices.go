package spread

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// noticeRetention is how long a notice is kept. It exceeds the time from a
// notice to the end of its instance.
const noticeRetention = 30 * time.Minute

// notices holds the known reclaim notices by instance ID.
type notices struct {
	ends      map[string]time.Time
	expiresAt map[string]clock.Instant
}

func newNotices() *notices {
	return &notices{ends: make(map[string]time.Time), expiresAt: make(map[string]clock.Instant)}
}

// add stores notices and returns those that are new.
func (s *notices) add(now clock.Instant, list []Notice) []Notice {
	var fresh []Notice
	for _, n := range list {
		if _, known := s.ends[n.Instance]; known {
			continue
		}
		s.ends[n.Instance] = n.Ends
		s.expiresAt[n.Instance] = now.Add(noticeRetention)
		fresh = append(fresh, n)
	}
	return fresh
}

// all returns the notices in no particular order.
func (s *notices) all() []Notice {
	list := make([]Notice, 0, len(s.ends))
	for id, ends := range s.ends {
		list = append(list, Notice{Instance: id, Ends: ends})
	}
	return list
}

// expire deletes the notices that are older than noticeRetention.
func (s *notices) expire(now clock.Instant) {
	for id, at := range s.expiresAt {
		if !now.Before(at) {
			delete(s.ends, id)
			delete(s.expiresAt, id)
		}
	}
}

// applyTo returns the instance with its notice applied. An instance with a
// notice is leaving, even if the view of the fleet predates the notice and
// shows it live.
func (s *notices) applyTo(i fleet.Instance) fleet.Instance {
	ends, noticed := s.ends[i.ID]
	if !noticed || (i.State != fleet.Live && i.State != fleet.Starting) {
		return i
	}
	i.State = fleet.Leaving
	i.Ends = ends
	return i
}
