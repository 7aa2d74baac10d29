package pollers

import (
	"net"
	"os"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// probe is a pair of connected sockets. A poller reads conn; Await writes to peer.
type probe struct {
	conn *nbio.Conn
	peer *os.File
}

func newProbe() (*probe, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socketpair", err)
	}
	peer := os.NewFile(uintptr(pair[1]), "probe")
	conn, err := newConn(pair[0])
	if err != nil {
		_ = peer.Close()
		return nil, err
	}
	return &probe{conn: conn, peer: peer}, nil
}

// newConn makes a connection of a socket. It closes fd and uses a duplicate of it.
func newConn(fd int) (*nbio.Conn, error) {
	file := os.NewFile(uintptr(fd), "probe")
	defer func() { _ = file.Close() }()
	std, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return nbio.NBConn(std)
}

// send writes one byte for the poller to read.
func (p *probe) send() error {
	_, err := p.peer.Write([]byte{0})
	return err
}

// close closes the probe. If conn was added to a poller, the poller closes it
// when it sees that peer is closed.
func (p *probe) close(added bool) {
	_ = p.peer.Close()
	if !added {
		_ = p.conn.Close()
	}
}
