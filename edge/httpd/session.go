package httpd

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// session is what the engine keeps for a connection. The engine may end a connection on
// another thread than its poller, and orders neither after the other: the state is passed by
// an atomic access. It implements nbhttp.ParserCloser.
type session struct {
	conn *nbio.Conn
	// connection is nil until the poller has made it.
	connection atomic.Pointer[connection]
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (s *session) UnderlayerConn() net.Conn {
	return s.conn
}

// Parse implements nbhttp.ParserCloser: it handles received bytes, on the poller.
func (s *session) Parse(data []byte) error {
	return s.connection.Load().Parse(data)
}

// CloseAndClean implements nbhttp.ParserCloser. It is called once, when the connection is
// closed.
func (s *session) CloseAndClean(error) {
	if c := s.connection.Load(); c != nil {
		c.disconnected()
	}
}

var _ nbhttp.ParserCloser = (*session)(nil)
