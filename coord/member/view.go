package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// View is what one process knows of the others. It is owned by one thread.
type View struct {
	config     Config
	self       Update
	entries    map[string]*entry // by instance
	neighbours []Peer
	isStale    bool // the neighbours must be chosen anew
	digest     uint64
	isDigested bool // digest is of the present entries
	ticked     clock.Instant
}

// NewView makes the view of a process that knows of no other.
func NewView(config Config, self Peer, now clock.Instant) *View {
	return &View{
		config:  config,
		self:    Update{Peer: self, Silence: Live},
		entries: make(map[string]*entry),
		ticked:  now,
	}
}

// Self returns the news that the process gives of itself.
func (v *View) Self() Update {
	return v.self
}

// Heartbeat returns what to send on each link at every interval.
func (v *View) Heartbeat() Heartbeat {
	return Heartbeat{Self: v.self, Digest: v.Digest()}
}

// Leave announces that the process ends. The update goes out on every link at
// once, and the heartbeats carry it from then on.
func (v *View) Leave() Update {
	v.self.Leaving = true
	v.isDigested = false
	return v.self
}

// Heard takes a heartbeat that came on a link. It returns the updates that go
// out on the other links. Reply says what goes back.
func (v *View) Heard(h Heartbeat, now clock.Instant) []Update {
	spread := v.Merge(h.Self, now)
	if e, ok := v.entries[h.Self.Peer.Instance]; ok && e.update.Peer.Incarnation == h.Self.Peer.Incarnation {
		e.heard = now
	}
	return spread
}

// Reply returns the news that the sender of a heartbeat has to refute or to
// learn of itself. It reports false if there is none.
func (v *View) Reply(h Heartbeat) (Update, bool) {
	e, ok := v.entries[h.Self.Peer.Instance]
	if !ok || e.update.compare(h.Self) <= 0 {
		return Update{}, false
	}
	return e.update, true
}

// Merge takes one update from a link, a snapshot or the instance list. It
// returns the updates that go out on the other links, none if it was known.
func (v *View) Merge(u Update, now clock.Instant) []Update {
	if !u.isValid() {
		return nil
	}
	if u.Peer.Instance == v.self.Peer.Instance {
		return v.mergeSelf(u)
	}
	e, ok := v.entries[u.Peer.Instance]
	if ok && u.compare(e.update) <= 0 {
		return nil
	}
	if !ok || u.Peer.Incarnation != e.update.Peer.Incarnation {
		e = &entry{heard: now, update: Update{Silence: Gone}}
		v.entries[u.Peer.Instance] = e
		v.isStale = true
	}
	if u.Counter > e.update.Counter {
		// Only the process itself raises its counter, so it was there.
		e.heard = now
	}
	v.set(e, u, now)
	return []Update{u}
}

// Tick judges the silence of the others. It is to be called at every heartbeat
// interval and returns the updates that go out on every link.
func (v *View) Tick(now clock.Instant) []Update {
	v.forgive(now)
	v.link(now)
	var spread []Update
	for _, instance := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[instance]
		if silence := v.judge(e, now); silence != e.update.Silence {
			u := e.update
			u.Silence = silence
			v.set(e, u, now)
			spread = append(spread, u)
		}
		if e.update.Silence == Gone && now.Sub(e.since) >= v.config.ForgetAfter {
			delete(v.entries, instance)
		}
	}
	return spread
}

// Neighbours returns the processes that this one keeps links to. Links that
// others open to it come on top.
func (v *View) Neighbours(now clock.Instant) []Peer {
	v.link(now)
	return v.neighbours
}

// State returns what is thought of an incarnation of a process. A process that
// is not known, or that was replaced by a later incarnation, counts as gone.
func (v *View) State(instance string, incarnation uint64) State {
	if instance == v.self.Peer.Instance && incarnation == v.self.Peer.Incarnation {
		return v.self.State()
	}
	e, ok := v.entries[instance]
	if !ok || e.update.Peer.Incarnation != incarnation {
		return Gone
	}
	return e.update.State()
}

// Members returns all processes in one of the given states, this one included,
// ordered by instance.
func (v *View) Members(states ...State) []Peer {
	var peers []Peer
	if slices.Contains(states, v.self.State()) {
		peers = append(peers, v.self.Peer)
	}
	for _, e := range v.entries {
		if slices.Contains(states, e.update.State()) {
			peers = append(peers, e.update.Peer)
		}
	}
	slices.SortFunc(peers, comparePeers)
	return peers
}

// Count returns the number of processes in a state, this one included.
func (v *View) Count(state State) int {
	count := 0
	if v.self.State() == state {
		count++
	}
	for _, e := range v.entries {
		if e.update.State() == state {
			count++
		}
	}
	return count
}

// Snapshot returns all that is known, for a new link or one whose digests
// differ.
func (v *View) Snapshot() []Update {
	updates := []Update{v.self}
	for _, instance := range slices.Sorted(maps.Keys(v.entries)) {
		updates = append(updates, v.entries[instance].update)
	}
	return updates
}

// Digest returns a digest of what is known of processes that are not gone. Two
// views with the same updates have the same digest.
func (v *View) Digest() uint64 {
	if v.isDigested {
		return v.digest
	}
	v.digest = v.self.digest()
	for _, e := range v.entries {
		if e.update.Silence != Gone {
			v.digest ^= e.update.digest()
		}
	}
	v.isDigested = true
	return v.digest
}

// set replaces what is known of a process. The neighbours change only if one of
// them is gone or another process is there.
func (v *View) set(e *entry, u Update, now clock.Instant) {
	isBack := e.update.Silence == Gone && u.Silence != Gone
	isNeighbourGone := e.watch && u.Silence == Gone
	v.isStale = v.isStale || isBack || isNeighbourGone
	v.isDigested = false
	e.update = u
	e.since = now
}

// mergeSelf refutes news of this process that is not its own.
func (v *View) mergeSelf(u Update) []Update {
	if u.compare(v.self) <= 0 || u.Peer.Incarnation != v.self.Peer.Incarnation {
		return nil
	}
	v.self.Counter = max(v.self.Counter, u.Counter) + 1
	v.isDigested = false
	return []Update{v.self}
}

// judge returns how far the silence of a process has come.
func (v *View) judge(e *entry, now clock.Instant) State {
	switch {
	case e.update.Silence == Live && e.watch && now.Sub(e.heard) >= v.config.SuspectAfter:
		return Suspect
	case e.update.Silence == Suspect && now.Sub(e.since) >= v.config.GoneAfter:
		return Gone
	default:
		return e.update.Silence
	}
}

// forgive takes the time for which this process was itself stopped off the
// silence of the others.
func (v *View) forgive(now clock.Instant) {
	stopped := now.Sub(v.ticked) - v.config.HeartbeatEvery
	v.ticked = now
	if stopped < v.config.HeartbeatEvery {
		return
	}
	for _, e := range v.entries {
		e.heard = min(e.heard.Add(stopped), now)
		if e.update.Silence == Suspect {
			e.since = min(e.since.Add(stopped), now)
		}
	}
}

// link chooses the neighbours anew among all that are not gone, if need be.
func (v *View) link(now clock.Instant) {
	if !v.isStale {
		return
	}
	v.isStale = false
	v.neighbours = Neighbours(v.self.Peer, v.Members(Live, Suspect, Leaving), v.config.Links)
	chosen := make(map[string]bool, len(v.neighbours))
	for _, p := range v.neighbours {
		chosen[p.Instance] = true
	}
	for instance, e := range v.entries {
		if chosen[instance] && !e.watch {
			e.heard = now
		}
		e.watch = chosen[instance]
	}
}

func comparePeers(a, b Peer) int {
	return cmp.Compare(a.Instance, b.Instance)
}
