package spread

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// memberList is the list of members that a process knows. Lists that have
// merged the same entries are equal, whatever the order.
type memberList struct {
	self    string
	members map[string]Member
	// goneAt is when this process learned that a member is gone.
	goneAt map[string]clock.Instant
	// digest is the XOR of the digests of the members that are not gone. Gone
	// members are left out because processes forget them at different times.
	digest uint64
	// cachedIndex is the result of the last call of index.
	cachedIndex *memberIndex
}

func newMemberList(self Member) *memberList {
	return &memberList{
		self:    self.ID,
		members: map[string]Member{self.ID: self},
		goneAt:  make(map[string]clock.Instant),
		digest:  self.digest(),
	}
}

// merge stores the entries that supersede known ones and returns them. An entry
// about this process itself is refuted instead, and the refutation returned.
func (l *memberList) merge(now clock.Instant, updates []Member) []Member {
	var changed []Member
	for _, m := range updates {
		old, ok := l.members[m.ID]
		if ok && !m.Supersedes(&old) {
			continue
		}
		if m.ID == l.self {
			m = refute(old, m)
		}
		l.put(now, m)
		changed = append(changed, m)
	}
	return changed
}

// refute returns the entry of this process, changed so that it supersedes the
// entry that others claim.
func refute(own, claimed Member) Member {
	own.Incarnation = claimed.Incarnation
	own.Sequence = claimed.Sequence + 1
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

// setState sets the state of a member and returns its new entry.
func (l *memberList) setState(now clock.Instant, id string, state MemberState) Member {
	m := l.members[id]
	m.State = state
	l.put(now, m)
	return m
}

// expire deletes the members that have been gone for longer than after.
func (l *memberList) expire(now clock.Instant, after time.Duration) {
	for id, at := range l.goneAt {
		if now.Sub(at) > after && id != l.self {
			delete(l.members, id)
			delete(l.goneAt, id)
		}
	}
}

// index returns the index of the members that are not gone.
func (l *memberList) index() *memberIndex {
	if l.cachedIndex == nil || l.cachedIndex.digest != l.digest {
		l.cachedIndex = newMemberIndex(l)
	}
	return l.cachedIndex
}

// all returns all members, gone ones included, in no particular order.
func (l *memberList) all() []Member {
	out := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		out = append(out, m)
	}
	return out
}

// presentCount returns the number of members that are not gone.
func (l *memberList) presentCount() int {
	return len(l.members) - len(l.goneAt)
}
