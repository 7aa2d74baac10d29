package httpc

import (
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

// readBufferBytes is the size of the buffer of one read.
const readBufferBytes = 32 << 10

// reader replaces the read loop of nbio. It reads each connection until EAGAIN
// or an error, so that it learns whether the connection ended with EOF or with
// a reset: by itself nbio closes a connection as soon as epoll reports a hangup,
// without reading which of the two it was.
//
// No descriptor of a connection may be duplicated. A duplicate would keep the
// connection registered with epoll after the original is closed, and its events
// would be taken for those of a new connection that reuses the number.
type reader struct {
	buffers sync.Pool
	// connCount orders the writes of a dialer to a new connection before the
	// reads of the pollers. nbio relies on epoll for that order, which the Go
	// memory model and the race detector do not know of. Only the atomic access
	// matters, the count itself is not used.
	connCount atomic.Uint64
}

func newReader() *reader {
	return &reader{buffers: sync.Pool{New: func() any { return new([readBufferBytes]byte) }}}
}

// attach installs the reader in an engine, which must not have started.
func (r *reader) attach(engine *nbhttp.Engine) {
	engine.Engine.OnRead(r.read)
	engine.Engine.OnClose(r.closed)
}

// countConn must be called for each new connection before it is registered with
// a poller; see connCount.
func (r *reader) countConn() {
	r.connCount.Add(1)
}

// read handles a readable event of a connection.
func (r *reader) read(conn *nbio.Conn) {
	_ = r.connCount.Load()
	buffer, ok := r.buffers.Get().(*[readBufferBytes]byte)
	if !ok {
		buffer = new([readBufferBytes]byte)
	}
	defer r.buffers.Put(buffer)
	defer releaseIfClosed(conn)
	for {
		n, err := conn.Read(buffer[:])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = conn.CloseWithError(err)
			return
		case n == 0:
			_ = conn.CloseWithError(endCause(conn))
			return
		default:
			conn.DataHandler()(conn, buffer[:n])
		}
	}
}

// endCause returns why a connection has ended whose end was read: a *ClosedError if the
// server closed it in order. A server that closes it while a request is still being written
// resets it as soon as more of the request arrives.
func endCause(conn *nbio.Conn) error {
	if err := pollers.PendingError(conn); err != nil {
		return err
	}
	return &ClosedError{}
}

// releaseIfClosed returns what a connection still takes of its budget, if it was closed
// while bytes were being handled.
func releaseIfClosed(conn *nbio.Conn) {
	if closed, _ := conn.IsClosed(); !closed {
		return
	}
	if c, ok := conn.Session().(*connection); ok {
		c.releaseUnparsed()
	}
}

// closed reports the end of a connection to its parser.
func (r *reader) closed(conn *nbio.Conn, cause error) {
	conn.MustExecute(func() {
		_ = r.connCount.Load()
		if session, ok := conn.Session().(nbhttp.ParserCloser); ok {
			session.CloseAndClean(cause)
		}
	})
}
