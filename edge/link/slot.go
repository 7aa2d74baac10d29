package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// slot is room for one link, with its reader duty and its writer duty.
type slot struct {
	config *Config
	inbox  *ring.Ring[event]
	counts *counts
	// session is owned by the links duty; nil while the slot is free.
	session *session
	// reads takes a session first for its handshake and then, once it is up, for
	// reading.
	reads  *ring.Ring[*session]
	writes *ring.Ring[*session]
}

func newSlot(config *Config, inbox *ring.Ring[event], counts *counts) *slot {
	const atOnce = 2
	return &slot{
		config: config,
		inbox:  inbox,
		counts: counts,
		reads:  ring.New[*session]("link-reads", atOnce),
		writes: ring.New[*session]("link-writes", atOnce),
	}
}

// read is the reader duty.
func (s *slot) read() error {
	for {
		session, err := s.reads.Take()
		if err != nil {
			return nil
		}
		var outcome event
		if session.up {
			outcome = ended{slot: s, err: s.readAll(session)}
		} else {
			outcome = introduced{slot: s, err: s.introduce(session)}
		}
		// The inbox has room for two events of each slot until it is closed.
		_ = s.inbox.Offer(outcome)
	}
}

func (s *slot) readAll(session *session) error {
	for {
		before := session.reader.BytesRead()
		m, err := session.reader.Next()
		if err != nil {
			return translate(err, session.peer.ID())
		}
		s.counts.received(session.reader.BytesRead() - before)
		s.config.Handler.Receive(session.peer, m)
	}
}

// introduce exchanges Hello and checks the peer's against its certificate. The
// side that dialled speaks first.
func (s *slot) introduce(session *session) error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := s.openStream(ctx, session); err != nil {
		return s.handshakeError(session, "no stream", err)
	}
	if err := session.stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return s.handshakeError(session, "no deadline", err)
	}
	session.reader = wire.NewReader(session.stream)
	if err := s.exchange(session); err != nil {
		return err
	}
	if err := session.stream.SetDeadline(time.Time{}); err != nil {
		return s.handshakeError(session, "no deadline", err)
	}
	return s.check(session)
}

func (s *slot) openStream(ctx context.Context, session *session) (err error) {
	if session.dialed != nil {
		session.stream, err = session.conn.OpenStreamSync(ctx)
		return err
	}
	session.stream, err = session.conn.AcceptStream(ctx)
	return err
}

func (s *slot) exchange(session *session) error {
	if session.dialed != nil {
		if err := s.sendHello(session); err != nil {
			return err
		}
		return s.receiveHello(session)
	}
	if err := s.receiveHello(session); err != nil {
		return err
	}
	return s.sendHello(session)
}

func (s *slot) sendHello(session *session) error {
	raw, err := wire.Encode(&s.config.Self)
	if err != nil {
		return s.handshakeError(session, "hello", err)
	}
	if _, err := session.stream.Write(raw); err != nil {
		return s.handshakeError(session, "hello not sent", err)
	}
	return nil
}

func (s *slot) receiveHello(session *session) error {
	m, err := session.reader.Next()
	if err != nil {
		return s.handshakeError(session, "no hello", err)
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return s.handshakeError(session, "the first message is not a hello", nil)
	}
	session.peer = *hello
	return nil
}

func (s *slot) check(session *session) error {
	name, err := keys.NameOf(session.conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return s.handshakeError(session, "certificate", err)
	}
	if name.String() != session.peer.ID() {
		return s.handshakeError(session, "certificate is of "+name.String()+", hello of "+session.peer.ID(), nil)
	}
	if session.peer.ID() == s.config.Self.ID() {
		return s.handshakeError(session, "the peer is this process", nil)
	}
	return nil
}

func (s *slot) handshakeError(session *session, problem string, err error) error {
	return &HandshakeError{Address: session.address(), Problem: problem, Err: translate(err, "")}
}

// write is the writer duty.
func (s *slot) write() error {
	for {
		session, err := s.writes.Take()
		if err != nil {
			return nil
		}
		if err := s.writeAll(session); err != nil {
			// The reader of the link sees the close and reports its end.
			_ = session.conn.CloseWithError(codeOf(err), "write failed")
		}
	}
}

// writeAll sends until the outbound ring is closed.
func (s *slot) writeAll(session *session) error {
	for {
		m, err := session.outbound.Take()
		if err != nil {
			return nil
		}
		if err := s.writeOne(session, m); err != nil {
			return err
		}
	}
}

func (s *slot) writeOne(session *session, m wire.Message) error {
	raw, err := wire.Encode(m)
	var encodeErr *wire.EncodeError
	if errors.As(err, &encodeErr) {
		s.config.Log.Error().Str("peer", session.peer.ID()).Err(err).Msg("link_message_not_encoded")
		return nil
	}
	if err := session.stream.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout)); err != nil {
		return err
	}
	if _, err := session.stream.Write(raw); err != nil {
		return err
	}
	s.counts.sent(uint64(len(raw)))
	return nil
}
