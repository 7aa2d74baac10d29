package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// View is what one process knows of all others. It must be used by one thread
// only.
type View struct {
	config          Config
	self            Update
	entries         map[string]*entry // by instance
	neighbours      []Peer
	neighboursStale bool // neighbours must be recomputed
	digest          uint64
	digestValid     bool // digest matches self and entries
	lastTick        clock.Instant
}

// NewView returns the view of a process that knows no others yet.
func NewView(config Config, self Peer, now clock.Instant) *View {
	return &View{
		config:   config,
		self:     Update{Peer: self, Liveness: Live},
		entries:  make(map[string]*entry),
		lastTick: now,
	}
}

// Self returns the update of the process about itself.
func (v *View) Self() Update {
	return v.self
}

// Heartbeat returns the message to send on each link at every heartbeat interval.
func (v *View) Heartbeat() Heartbeat {
	return Heartbeat{Self: v.self, Digest: v.Digest()}
}

// Leave announces that the process will end. The caller sends the returned update
// on every link at once; later heartbeats repeat it.
func (v *View) Leave() Update {
	v.self.Leaving = true
	v.digestValid = false
	return v.self
}

// HandleHeartbeat handles a heartbeat received on a link. It returns the updates
// to forward on the other links. Reply returns the update to send back.
func (v *View) HandleHeartbeat(h Heartbeat, now clock.Instant) []Update {
	forward := v.Merge(h.Self, now)
	if e, ok := v.entries[h.Self.Peer.Instance]; ok && e.update.Peer.Incarnation == h.Self.Peer.Incarnation {
		e.lastHeard = now
	}
	return forward
}

// Reply returns an update about the sender of a heartbeat that replaces the one
// in the heartbeat, so that the sender can refute it. It returns false if there is
// none.
func (v *View) Reply(h Heartbeat) (Update, bool) {
	e, ok := v.entries[h.Self.Peer.Instance]
	if !ok || e.update.compare(h.Self) <= 0 {
		return Update{}, false
	}
	return e.update, true
}

// Merge handles one update from a link, a snapshot or the instance list. It
// returns the updates to forward on the other links: none if the update brings
// nothing new.
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
		e = &entry{lastHeard: now, update: Update{Liveness: Gone}}
		v.entries[u.Peer.Instance] = e
		v.neighboursStale = true
	}
	if u.Counter > e.update.Counter {
		// Only the process itself raises its counter, so it was live.
		e.lastHeard = now
	}
	v.set(e, u, now)
	return []Update{u}
}

// Tick updates the liveness of the other processes. It must be called at every
// heartbeat interval and returns the updates to send on every link.
func (v *View) Tick(now clock.Instant) []Update {
	v.discountPause(now)
	v.updateNeighbours(now)
	var forward []Update
	for _, instance := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[instance]
		if liveness := v.nextLiveness(e, now); liveness != e.update.Liveness {
			u := e.update
			u.Liveness = liveness
			v.set(e, u, now)
			forward = append(forward, u)
		}
		if e.update.Liveness == Gone && now.Sub(e.updatedAt) >= v.config.ForgetAfter {
			delete(v.entries, instance)
		}
	}
	return forward
}

// Neighbours returns the processes that this one keeps links to. Links that
// others open to it are not included.
func (v *View) Neighbours(now clock.Instant) []Peer {
	v.updateNeighbours(now)
	return v.neighbours
}

// State returns the state of one incarnation of a process. An unknown process,
// and one that was replaced by another incarnation, counts as Gone.
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

// Members returns all processes in any of the given states, ordered by instance.
// They may include this process.
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

// Count returns the number of processes in a state, which may include this one.
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

// Snapshot returns the updates of all known processes, to send on a new link or
// on one whose digests differ.
func (v *View) Snapshot() []Update {
	updates := []Update{v.self}
	for _, instance := range slices.Sorted(maps.Keys(v.entries)) {
		updates = append(updates, v.entries[instance].update)
	}
	return updates
}

// Digest returns a digest of the updates of all processes that are not gone. Two
// views with the same updates have the same digest.
func (v *View) Digest() uint64 {
	if v.digestValid {
		return v.digest
	}
	v.digest = v.self.digest()
	for _, e := range v.entries {
		if e.update.Liveness != Gone {
			v.digest ^= e.update.digest()
		}
	}
	v.digestValid = true
	return v.digest
}

// set stores the update of a process. The neighbours are recomputed only if one of
// them is gone or a process that was gone is back.
func (v *View) set(e *entry, u Update, now clock.Instant) {
	returned := e.update.Liveness == Gone && u.Liveness != Gone
	neighbourGone := e.isNeighbour && u.Liveness == Gone
	v.neighboursStale = v.neighboursStale || returned || neighbourGone
	v.digestValid = false
	e.update = u
	e.updatedAt = now
}

// mergeSelf refutes an update about this process that replaces its own.
func (v *View) mergeSelf(u Update) []Update {
	if u.compare(v.self) <= 0 || u.Peer.Incarnation != v.self.Peer.Incarnation {
		return nil
	}
	v.self.Counter = max(v.self.Counter, u.Counter) + 1
	v.digestValid = false
	return []Update{v.self}
}

// nextLiveness returns the liveness of a process at the given instant.
func (v *View) nextLiveness(e *entry, now clock.Instant) State {
	switch {
	case e.update.Liveness == Live && e.isNeighbour && now.Sub(e.lastHeard) >= v.config.SuspectAfter:
		return Suspect
	case e.update.Liveness == Suspect && now.Sub(e.updatedAt) >= v.config.GoneAfter:
		return Gone
	default:
		return e.update.Liveness
	}
}

// discountPause shifts the times of the other processes by the time for which this
// process itself was paused, so that it does not suspect them for that time.
func (v *View) discountPause(now clock.Instant) {
	paused := now.Sub(v.lastTick) - v.config.HeartbeatEvery
	v.lastTick = now
	if paused < v.config.HeartbeatEvery {
		return
	}
	for _, e := range v.entries {
		e.lastHeard = min(e.lastHeard.Add(paused), now)
		if e.update.Liveness == Suspect {
			e.updatedAt = min(e.updatedAt.Add(paused), now)
		}
	}
}

// updateNeighbours recomputes the neighbours among all processes that are not
// gone, if they are stale.
func (v *View) updateNeighbours(now clock.Instant) {
	if !v.neighboursStale {
		return
	}
	v.neighboursStale = false
	v.neighbours = Neighbours(v.self.Peer, v.Members(Live, Suspect, Leaving), v.config.NeighbourCount)
	chosen := make(map[string]bool, len(v.neighbours))
	for _, p := range v.neighbours {
		chosen[p.Instance] = true
	}
	for instance, e := range v.entries {
		if chosen[instance] && !e.isNeighbour {
			e.lastHeard = now
		}
		e.isNeighbour = chosen[instance]
	}
}

func comparePeers(a, b Peer) int {
	return cmp.Compare(a.Instance, b.Instance)
}
