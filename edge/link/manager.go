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

// idleWait bounds the wait for an event while nothing is due.
const idleWait = time.Minute

// manager is the state of the links thread.
type manager struct {
	links *Links
	// up holds the slots of the links that are up, keyed by the ID of the peer.
	up       map[string]*slot
	schedule *dialSchedule
}

func newManager(l *Links) *manager {
	return &manager{links: l, up: make(map[string]*slot), schedule: newDialSchedule(&l.config)}
}

// run is the function of the links thread.
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
		m.releaseTemporaryLinks(time.Now())
		m.schedule.start(time.Now(), m.isLinked, m.offerDial)
	}
}

func (m *manager) handle(e event) {
	switch e := e.(type) {
	case accepted:
		m.startHandshake(&session{conn: e.conn})
	case dialed:
		m.onDialed(e)
	case handshakeDone:
		m.onHandshakeDone(e)
	case readEnded:
		m.onReadEnded(e)
	case targetsChanged:
		m.onTargetsChanged(e.targets)
	case dropRequested:
		if s, ok := m.up[e.id]; ok {
			m.closeLink(s, &UnresponsiveError{ID: e.id})
		}
	case statusRequested:
		e.reply(m.status())
	}
}

// wait returns the time until a dial or the release of a temporary link is due.
func (m *manager) wait(now time.Time) time.Duration {
	wait := m.schedule.wait(now, m.isLinked)
	for _, s := range m.up {
		if s.session.isTemporary {
			wait = min(wait, s.session.upSince.Add(temporaryLinkTime).Sub(now))
		}
	}
	return max(wait, 0)
}

func (m *manager) releaseTemporaryLinks(now time.Time) {
	for _, s := range m.up {
		if s.session.isTemporary && now.Sub(s.session.upSince) >= temporaryLinkTime {
			m.closeLink(s, &ReleasedError{})
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

// offerDial queues a target at the dial thread with the shortest queue. It returns
// false if all queues are full.
func (m *manager) offerDial(t Target) bool {
	shortest := slices.MinFunc(m.links.dialQueues, func(a, b *ring.Ring[Target]) int {
		return a.Stats().Depth - b.Stats().Depth
	})
	return shortest.Offer(t) == nil
}

func (m *manager) onDialed(e dialed) {
	if e.err != nil {
		m.links.metrics.dialsFailed.Inc()
		m.links.config.Log.Debug().Str("peer", e.target.ID).Err(e.err).Msg("link_dial_failed")
		m.schedule.onFailure(e.target)
		return
	}
	if !m.schedule.has(e.target.Address) {
		_ = e.conn.CloseWithError(codeReleased, "")
		return
	}
	m.startHandshake(&session{conn: e.conn, dialed: &e.target})
}

// startHandshake assigns a connection to a free slot and starts its handshake.
func (m *manager) startHandshake(s *session) {
	for _, free := range m.links.slots {
		if free.session == nil {
			free.session = s
			_ = free.readQueue.Offer(s)
			return
		}
	}
	m.reject(s, &TooManyLinksError{MaxLinks: m.links.config.MaxLinks})
}

// reject closes a connection for which there is no free slot.
func (m *manager) reject(s *session, err error) {
	m.links.config.Log.Warn().Str("address", s.address()).Err(err).Msg("link_refused")
	m.closeConn(s.conn, err)
	if s.dialed != nil {
		m.schedule.onFailure(*s.dialed)
	}
}

func (m *manager) onHandshakeDone(e handshakeDone) {
	s := e.slot.session
	if e.err == nil {
		e.err = m.addLink(e.slot)
	}
	if e.err == nil {
		return
	}
	e.slot.session = nil
	m.closeConn(s.conn, e.err)
	var tooMany *TooManyLinksError
	if s.dialed != nil && errors.As(e.err, &tooMany) {
		m.schedule.onPeerFull(*s.dialed)
		return
	}
	if _, isHandshake := e.err.(*HandshakeError); isHandshake {
		m.links.config.Log.Warn().Str("address", s.address()).Err(e.err).Msg("link_refused")
	}
	if s.dialed != nil {
		m.schedule.onFailure(*s.dialed)
	}
}

// addLink adds a link whose handshake has succeeded. It fails with a
// *ReplacedError if an existing link to the same peer is kept instead.
func (m *manager) addLink(s *slot) error {
	id := s.session.peer.ID()
	if old, ok := m.up[id]; ok {
		if m.keepsExisting(old.session, s.session) {
			return &ReplacedError{ID: id}
		}
		m.closeLink(old, &ReplacedError{ID: id})
	}
	s.session.outbound = ring.New[wire.Message]("link-outbound", m.links.config.OutboundCapacity)
	s.session.up = true
	s.session.upSince = time.Now()
	config := &m.links.config
	s.session.isTemporary = s.session.dialed == nil && len(m.up) >= config.MaxLinks-config.temporaryLinks()
	m.up[id] = s
	m.publish()
	if s.session.dialed != nil {
		m.schedule.onSuccess(*s.session.dialed)
	}
	m.links.metrics.links.Inc()
	m.links.config.Log.Info().Str("peer", id).Str("address", s.session.address()).
		Bool("dialed", s.session.dialed != nil).Bool("visit", s.session.isTemporary).Msg("link_up")
	m.links.config.Handler.Up(s.session.peer)
	_ = s.readQueue.Offer(s.session)
	_ = s.writeQueue.Offer(s.session)
	return nil
}

// keepsExisting decides which of two connections to the same peer is kept. Both
// sides must come to the same result: the connection to the later incarnation of
// the peer, else the one that the process with the lesser ID dialed, and of two
// that the same side dialed the newer one.
func (m *manager) keepsExisting(old, fresh *session) bool {
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

// closeLink closes a link that is up. Its slot becomes free when its reader has
// stopped.
func (m *manager) closeLink(s *slot, err error) {
	session := s.session
	if session.closeReason != nil || m.up[session.peer.ID()] != s {
		return
	}
	session.closeReason = err
	m.remove(s, err)
	m.closeConn(session.conn, err)
}

// remove removes a link from those that are up and tells the handler.
func (m *manager) remove(s *slot, err error) {
	session := s.session
	delete(m.up, session.peer.ID())
	m.publish()
	session.outbound.Close()
	m.links.metrics.links.Dec()
	m.links.metrics.ended.Inc()
	m.links.config.Log.Info().Str("peer", session.peer.ID()).Err(err).
		Dur("lasted", time.Since(session.upSince)).Msg("link_down")
	m.links.config.Handler.Down(session.peer, err)
}

func (m *manager) onReadEnded(e readEnded) {
	session := e.slot.session
	if session.closeReason == nil {
		m.remove(e.slot, e.err)
		m.closeConn(session.conn, e.err)
	}
	e.slot.session = nil
}

// onTargetsChanged sets new targets and releases the links that this process
// dialed to earlier ones.
func (m *manager) onTargetsChanged(targets []Target) {
	m.schedule.set(targets)
	for _, s := range m.up {
		if s.session.dialed != nil && !m.schedule.has(s.session.dialed.Address) {
			m.closeLink(s, &ReleasedError{})
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

// publish makes the links that are up available to Send.
func (m *manager) publish() {
	t := make(outboundRings, len(m.up))
	for id, s := range m.up {
		t[id] = s.session.outbound
	}
	m.links.rings.Store(&t)
}

func (m *manager) closeConn(conn *quic.Conn, err error) {
	_ = conn.CloseWithError(closeCode(err), "")
}

// closeAll closes all links and ends the other threads.
func (m *manager) closeAll() {
	for _, targets := range m.links.dialQueues {
		targets.Close()
	}
	for s := range maps.Values(m.up) {
		m.closeLink(s, &ShutdownError{})
	}
	for _, s := range m.links.slots {
		if s.session != nil {
			m.closeConn(s.session.conn, &ShutdownError{})
		}
		s.readQueue.Close()
		s.writeQueue.Close()
	}
	m.links.closeSocket()
}
