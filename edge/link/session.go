package link

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// session is one connection from its handshake to its end. The links thread passes
// it to the threads of a slot through their rings and does not modify meanwhile
// what these threads use.
type session struct {
	conn *quic.Conn
	// dialed is the target if this process dialed; nil otherwise.
	dialed *Target
	// stream and peer are set by the handshake.
	stream *quic.Stream
	reader *wire.Reader
	peer   wire.Hello
	// outbound holds the messages that the writer sends.
	outbound *ring.Ring[wire.Message]
	// up is set once the handshake has succeeded and the link is published.
	up bool
	// upSince is the time at which the link came up.
	upSince time.Time
	// isTemporary is true for a link that is released after temporaryLinkTime. It is
	// logged as "visit".
	isTemporary bool
	// closeReason is why this process closed the link; nil if it did not.
	closeReason error
}

// address returns the address of the peer.
func (s *session) address() string {
	return s.conn.RemoteAddr().String()
}

// status describes a link that is up.
func (s *session) status(id string) Status {
	return Status{
		Peer:        id,
		Address:     s.address(),
		Incarnation: s.peer.Incarnation,
		Dialed:      s.dialed != nil,
		UpSeconds:   int64(time.Since(s.upSince) / time.Second),
		Outbound:    s.outbound.Stats(),
	}
}
