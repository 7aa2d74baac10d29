package httpc

import (
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// readBytes is the size of one read, in bytes.
const readBytes = 32 << 10

// reader reads connections on the pollers, each time up to what the kernel
// holds no more of, so that the cause of an end is known: the library by itself
// closes a connection as soon as it is told of an end, without reading whether
// that was a reset.
//
// Only the reader may hold a descriptor of a connection. A second one would keep
// the connection with the kernel's notices after the first was closed, and a new
// connection with its number would be taken for the old.
type reader struct {
	buffers sync.Pool
	// connections counts those made. It orders what a dialer wrote of a
	// connection before what the pollers read. The library leaves that to the
	// kernel, which orders the two in fact, but not by the memory model of the
	// language.
	connections atomic.Uint64
}

func newReader() *reader {
	return &reader{buffers: sync.Pool{New: func() any { return new([readBytes]byte) }}}
}

// attach takes the library's place at its pollers, before they start.
func (r *reader) attach(engine *nbhttp.Engine) {
	engine.Engine.OnRead(r.read)
	engine.Engine.OnClose(r.closed)
}

// made is called for each new connection before it is given to a poller.
func (r *reader) made() {
	r.connections.Add(1)
}

func (r *reader) read(conn *nbio.Conn) {
	_ = r.connections.Load()
	buffer, ok := r.buffers.Get().(*[readBytes]byte)
	if !ok {
		buffer = new([readBytes]byte)
	}
	defer r.buffers.Put(buffer)
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
			_ = conn.CloseWithError(&ClosedError{})
			return
		default:
			conn.DataHandler()(conn, buffer[:n])
		}
	}
}

// closed tells the parser of a connection of its end.
func (r *reader) closed(conn *nbio.Conn, cause error) {
	conn.MustExecute(func() {
		_ = r.connections.Load()
		if session, ok := conn.Session().(nbhttp.ParserCloser); ok {
			session.CloseAndClean(cause)
		}
	})
}
