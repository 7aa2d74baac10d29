package link

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// idleWait is how long the links duty waits when nothing is due.
const idleWait = time.Minute

// manager is the state of the links duty.
type manager struct {
	links *Links
	// up holds the slots of the links that are up by the identity of the peer.
	up       map[string]*slot
	dialings *dialings
}

func newManager(l *Links) *manager {
	return &manager{links: l, up: make(map[string]*slot), dialings: newDialings(&l.config)}
}

// run is the links duty.
func (m *manager) run() error {
	for {
		e, ok, err := m.links.inbox.TakeUntil(m.wait(time.Now()))
		if err != nil {
			m.closeAll()
			return nil
		}
		if ok {
			m.handle(e)
		}
		m.releaseVisitors(time.Now())
		m.dialings.start(time.Now(), m.isLinked, m.offerDial)
	}
}

func (m *manager) handle(e event) {
	switch e := e.(type) {
	case accepted:
		m.begin(&session{conn: e.conn})
	case dialed:
		m.onDialed(e)
	case introduced:
		m.onIntroduced(e)
	case ended:
		m.onEnded(e)
	case targetsSet:
		m.onTargets(e.targets)
	case dropAsked:
		if s, ok := m.up[e.id]; ok {
			m.takeDown(s, &UnresponsiveError{ID: e.id})
		}
	case statusAsked:
		e.answer(m.status())
	}
}

// wait returns the time until something is due.
func (m *manager) wait(now time.Time) time.Duration {
	wait := m.dialings.wait(now, m.isLinked)
	for _, s := range m.up {
		if s.session.isVisit {
			wait = min(wait, s.session.since.Add(visitTime).Sub(now))
		}
	}
	return max(wait, 0)
}

func (m *manager) releaseVisitors(now time.Time) {
	for _, s := range m.up {
		if s.session.isVisit && now.Sub(s.session.since) >= visitTime {
			m.takeDown(s, &ReleasedError{})
		}
	}
}

func (m *manager) isLinked(t Target) bool {
	if t.ID != "" {
		return m.up[t.ID] != nil
	}
	for _, s := range m.up {
		if s.session.peer.LinkAddress == t.Address {
			return true
		}
	}
	return false
}

// offerDial gives a target to the dial duty with the fewest waiting. It returns
// false when the rings of all are full.
func (m *manager) offerDial(t Target) bool {
	shortest := slices.MinFunc(m.links.dials, func(a, b *ring.Ring[Target]) int {
		return a.Stats().Depth - b.Stats().Depth
	})
	return shortest.Offer(t) == nil
}

func (m *manager) onDialed(e dialed) {
	if e.err != nil {
		m.links.counts.dialsFailed.Inc()
		m.links.config.Log.Debug().Str("peer", e.target.ID).Err(e.err).Msg("link_dial_failed")
		m.dialings.failed(e.target)
		return
	}
	if !m.dialings.has(e.target.Address) {
		_ = e.conn.CloseWithError(codeReleased, "")
		return
	}
	m.begin(&session{conn: e.conn, dialed: &e.target})
}

// begin gives a connection a slot and starts its handshake.
func (m *manager) begin(s *session) {
	for _, free := range m.links.slots {
		if free.session == nil {
			free.session = s
			_ = free.reads.Offer(s)
			return
		}
	}
	m.refuse(s, &TooManyError{MaxLinks: m.links.config.MaxLinks})
}

// refuse ends a connection that has no slot.
func (m *manager) refuse(s *session, err error) {
	m.links.config.Log.Warn().Str("address", s.address()).Err(err).Msg("link_refused")
	m.closeConn(s.conn, err)
	if s.dialed != nil {
		m.dialings.failed(*s.dialed)
	}
}

func (m *manager) onIntroduced(e introduced) {
	s := e.slot.session
	if e.err == nil {
		e.err = m.admit(e.slot)
	}
	if e.err == nil {
		return
	}
	e.slot.session = nil
	m.closeConn(s.conn, e.err)
	var tooMany *TooManyError
	if s.dialed != nil && errors.As(e.err, &tooMany) {
		m.dialings.crowded(*s.dialed)
		return
	}
	if _, isHandshake := e.err.(*HandshakeError); isHandshake {
		m.links.config.Log.Warn().Str("address", s.address()).Err(e.err).Msg("link_refused")
	}
	if s.dialed != nil {
		m.dialings.failed(*s.dialed)
	}
}

// admit puts a link into the table. When there is a link to the same
// incarnation of the peer, both sides keep the connection that the process
// with the lesser identity dialled, and the newer one of two in one direction.
func (m *manager) admit(s *slot) error {
	id := s.session.peer.ID()
	if old, ok := m.up[id]; ok {
		if m.keepsOld(old.session, s.session) {
			return &ReplacedError{ID: id}
		}
		m.takeDown(old, &ReplacedError{ID: id})
	}
	s.session.outbound = ring.New[wire.Message]("link-outbound", m.links.config.OutboundSlots)
	s.session.up = true
	s.session.since = time.Now()
	config := &m.links.config
	s.session.isVisit = s.session.dialed == nil && len(m.up) >= config.MaxLinks-config.visitors()
	m.up[id] = s
	m.publish()
	if s.session.dialed != nil {
		m.dialings.succeeded(*s.session.dialed)
	}
	m.links.counts.links.Inc()
	m.links.config.Log.Info().Str("peer", id).Str("address", s.session.address()).
		Bool("dialed", s.session.dialed != nil).Bool("visit", s.session.isVisit).Msg("link_up")
	m.links.config.Handler.Up(s.session.peer)
	_ = s.reads.Offer(s.session)
	_ = s.writes.Offer(s.session)
	return nil
}

func (m *manager) keepsOld(old, fresh *session) bool {
	if old.peer.Incarnation != fresh.peer.Incarnation {
		return old.peer.Incarnation > fresh.peer.Incarnation
	}
	oldDialed := old.dialed != nil
	if oldDialed == (fresh.dialed != nil) {
		return false
	}
	isLesser := m.links.config.Self.ID() < old.peer.ID()
	return oldDialed == isLesser
}

// takeDown ends a link that is up. Its slot is free once its reader has ended.
func (m *manager) takeDown(s *slot, err error) {
	session := s.session
	if session.reason != nil || m.up[session.peer.ID()] != s {
		return
	}
	session.reason = err
	m.remove(s, err)
	m.closeConn(session.conn, err)
}

// remove takes a link out of the table and tells the handler.
func (m *manager) remove(s *slot, err error) {
	session := s.session
	delete(m.up, session.peer.ID())
	m.publish()
	session.outbound.Close()
	m.links.counts.links.Dec()
	m.links.counts.ended.Inc()
	m.links.config.Log.Info().Str("peer", session.peer.ID()).Err(err).
		Dur("lasted", time.Since(session.since)).Msg("link_down")
	m.links.config.Handler.Down(session.peer, err)
}

func (m *manager) onEnded(e ended) {
	session := e.slot.session
	if session.reason == nil {
		m.remove(e.slot, e.err)
		m.closeConn(session.conn, e.err)
	}
	e.slot.session = nil
}

// onTargets takes new targets and releases links that this process dialled to
// earlier ones.
func (m *manager) onTargets(targets []Target) {
	m.dialings.set(targets)
	for _, s := range m.up {
		if s.session.dialed != nil && !m.dialings.has(s.session.dialed.Address) {
			m.takeDown(s, &ReleasedError{})
		}
	}
}

func (m *manager) status() []Status {
	list := make([]Status, 0, len(m.up))
	for id, s := range m.up {
		list = append(list, s.session.status(id))
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Peer, b.Peer) })
	return list
}

// publish makes the present table known to Send.
func (m *manager) publish() {
	t := make(table, len(m.up))
	for id, s := range m.up {
		t[id] = s.session.outbound
	}
	m.links.table.Store(&t)
}

func (m *manager) closeConn(conn *quic.Conn, err error) {
	_ = conn.CloseWithError(codeOf(err), "")
}

// closeAll releases all links and ends the other duties.
func (m *manager) closeAll() {
	for _, targets := range m.links.dials {
		targets.Close()
	}
	for s := range maps.Values(m.up) {
		m.takeDown(s, &ShutdownError{})
	}
	for _, s := range m.links.slots {
		if s.session != nil {
			m.closeConn(s.session.conn, &ShutdownError{})
		}
		s.reads.Close()
		s.writes.Close()
	}
	m.links.closeSocket()
}
