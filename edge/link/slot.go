package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// slot serves one link at a time with a reader thread and a writer thread.
type slot struct {
	config  *Config
	inbox   *ring.Ring[event]
	metrics *metrics
	// session is owned by the links thread; nil while the slot is free.
	session *session
	// readQueue receives a session twice: for its handshake, and again for reading
	// when the link is up.
	readQueue *ring.Ring[*session]
	// writeQueue receives a session when the link is up.
	writeQueue *ring.Ring[*session]
}

func newSlot(config *Config, inbox *ring.Ring[event], m *metrics) *slot {
	const atOnce = 2
	return &slot{
		config:     config,
		inbox:      inbox,
		metrics:    m,
		readQueue:  ring.New[*session]("link-reads", atOnce),
		writeQueue: ring.New[*session]("link-writes", atOnce),
	}
}

// read is the function of the reader thread.
func (s *slot) read() error {
	for {
		session, err := s.readQueue.Take()
		if err != nil {
			return nil
		}
		var outcome event
		if session.up {
			outcome = readEnded{slot: s, err: s.readAll(session)}
		} else {
			outcome = handshakeDone{slot: s, err: s.handshake(session)}
		}
		// Offer fails only if the inbox is closed: it has room for two events of
		// each slot.
		_ = s.inbox.Offer(outcome)
	}
}

// readAll delivers messages to the handler until reading fails.
func (s *slot) readAll(session *session) error {
	for {
		before := session.reader.BytesRead()
		m, err := session.reader.Next()
		if err != nil {
			return remoteError(err, session.peer.ID())
		}
		s.metrics.received(session.reader.BytesRead() - before)
		s.config.Handler.Receive(session.peer, m)
	}
}

// handshake exchanges Hello messages and checks that the peer's Hello matches its
// certificate. The side that dialed opens the stream and sends first.
func (s *slot) handshake(session *session) error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := s.openStream(ctx, session); err != nil {
		return s.handshakeError(session, "open stream", err)
	}
	if err := session.stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return s.handshakeError(session, "set deadline", err)
	}
	session.reader = wire.NewReader(session.stream)
	if err := s.exchangeHellos(session); err != nil {
		return err
	}
	if err := session.stream.SetDeadline(time.Time{}); err != nil {
		return s.handshakeError(session, "clear deadline", err)
	}
	return s.verifyPeer(session)
}

func (s *slot) openStream(ctx context.Context, session *session) (err error) {
	if session.dialed != nil {
		session.stream, err = session.conn.OpenStreamSync(ctx)
		return err
	}
	session.stream, err = session.conn.AcceptStream(ctx)
	return err
}

func (s *slot) exchangeHellos(session *session) error {
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
		return s.handshakeError(session, "send hello", err)
	}
	return nil
}

func (s *slot) receiveHello(session *session) error {
	m, err := session.reader.Next()
	if err != nil {
		return s.handshakeError(session, "receive hello", err)
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return s.handshakeError(session, "the first message is not a hello", nil)
	}
	session.peer = *hello
	return nil
}

func (s *slot) verifyPeer(session *session) error {
	name, err := keys.NameOf(session.conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return s.handshakeError(session, "certificate", err)
	}
	if name.String() != session.peer.ID() {
		return s.handshakeError(session, "certificate names "+name.String()+", but hello names "+session.peer.ID(), nil)
	}
	if session.peer.ID() == s.config.Self.ID() {
		return s.handshakeError(session, "the peer is this process", nil)
	}
	return nil
}

func (s *slot) handshakeError(session *session, problem string, err error) error {
	return &HandshakeError{Address: session.address(), Problem: problem, Err: remoteError(err, "")}
}

// write is the function of the writer thread.
func (s *slot) write() error {
	for {
		session, err := s.writeQueue.Take()
		if err != nil {
			return nil
		}
		if err := s.writeAll(session); err != nil {
			// The reader of the link notices the close and reports the end.
			_ = session.conn.CloseWithError(closeCode(err), "write failed")
		}
	}
}

// writeAll sends messages until the outbound ring is closed or a write fails.
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

// writeOne sends a message. A message that can't be encoded is logged and dropped,
// because that is no fault of the link.
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
	s.metrics.sent(uint64(len(raw)))
	return nil
}
