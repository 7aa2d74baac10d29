package httpc

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// tailBuffer is the size of one read of the rest of a body, in bytes.
const tailBuffer = 4 << 10

// tail is a second descriptor of a connection, to find out how it ended: the
// network library closes its own when it is told of an end, without reading
// whether that was a reset. A nil tail is of a connection that could not be
// duplicated.
type tail struct {
	fd int
}

func newTail(conn *nbio.Conn) *tail {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	if raw.Control(func(of uintptr) { fd, err = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) }) != nil || err != nil {
		return nil
	}
	return &tail{fd: fd}
}

// drain reads what is left up to the end. It fails unless that is an ordinary
// end.
func (t *tail) drain(sink Sink) error {
	if t == nil {
		return &ClosedError{}
	}
	buffer := make([]byte, tailBuffer)
	for {
		n, _, err := unix.Recvfrom(t.fd, buffer, unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return os.NewSyscallError("recvfrom", err)
		case n == 0:
			return nil
		default:
			sink.Body(buffer[:n])
		}
	}
}

func (t *tail) close() {
	if t == nil {
		return
	}
	// Nothing was written, so that no error is lost.
	_ = unix.Close(t.fd)
	t.fd = -1
}
