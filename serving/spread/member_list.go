package spread

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// memberList is what a process knows of all processes. Lists that have taken
// the same members in any order are equal.
type memberList struct {
	self    string
	members map[string]Member
	// goneAt is when a member was learned to be gone.
	goneAt map[string]clock.Instant
	// digest covers the members that are not gone: those that are gone are
	// forgotten at different times.
	digest uint64
	// lastRoll is the roll as it was last asked for.
	lastRoll *roll
}

func newMemberList(self Member) *memberList {
	return &memberList{
		self:    self.ID,
		members: map[string]Member{self.ID: self},
		goneAt:  make(map[string]clock.Instant),
		digest:  self.digest(),
	}
}

// merge takes newer knowledge and returns what has changed.
func (l *memberList) merge(now clock.Instant, news []Member) []Member {
	var changed []Member
	for _, m := range news {
		old, ok := l.members[m.ID]
		if ok && !m.Supersedes(&old) {
			continue
		}
		if m.ID == l.self {
			m = contradict(old, m)
		}
		l.put(now, m)
		changed = append(changed, m)
	}
	return changed
}

// contradict returns what this process says of itself after others said
// something newer.
func contradict(own, said Member) Member {
	own.Incarnation = said.Incarnation
	own.Sequence = said.Sequence + 1
	return own
}

func (l *memberList) put(now clock.Instant, m Member) {
	if old, ok := l.members[m.ID]; ok && old.State != Gone {
		l.digest ^= old.digest()
	}
	l.members[m.ID] = m
	if m.State == Gone {
		l.goneAt[m.ID] = now
		return
	}
	l.digest ^= m.digest()
	delete(l.goneAt, m.ID)
}

// setState changes the state of a member and returns the new entry.
func (l *memberList) setState(now clock.Instant, id string, state State) Member {
	m := l.members[id]
	m.State = state
	l.put(now, m)
	return m
}

// forget drops members that have been gone for a while.
func (l *memberList) forget(now clock.Instant, after time.Duration) {
	for id, at := range l.goneAt {
		if now.Sub(at) > after && id != l.self {
			delete(l.members, id)
			delete(l.goneAt, id)
		}
	}
}

// roll returns the places of the members that are not gone.
func (l *memberList) roll() *roll {
	if l.lastRoll == nil || l.lastRoll.digest != l.digest {
		l.lastRoll = newRoll(l)
	}
	return l.lastRoll
}

// all returns all members in no order.
func (l *memberList) all() []Member {
	out := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		out = append(out, m)
	}
	return out
}

// present returns the number of members that are not gone.
func (l *memberList) present() int {
	return len(l.members) - len(l.goneAt)
}
