package link

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// session is one connection during its life. The links duty hands it to the
// duties of a slot through their rings and does not change it meanwhile.
type session struct {
	conn *quic.Conn
	// dialed is the target when this process dialled; nil otherwise.
	dialed *Target
	// stream and peer are set by the handshake.
	stream *quic.Stream
	reader *wire.Reader
	peer   wire.Hello
	// outbound holds the messages that the writer sends.
	outbound *ring.Ring[wire.Message]
	// up is set once the link is in the table.
	up bool
	// since is the time at which the link came up.
	since time.Time
	// isVisit is true for a link that is released after visitTime.
	isVisit bool
	// reason is why this process closed the connection; nil if it did not.
	reason error
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
		UpSeconds:   int64(time.Since(s.since) / time.Second),
		Outbound:    s.outbound.Stats(),
	}
}
