package pollers

import (
	"net"
	"os"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// probe is a pair of connected sockets: one for a poller, and its peer.
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
	conn, err := connOf(pair[0])
	if err != nil {
		_ = peer.Close()
		return nil, err
	}
	return &probe{conn: conn, peer: peer}, nil
}

// connOf takes a descriptor over.
func connOf(fd int) (*nbio.Conn, error) {
	file := os.NewFile(uintptr(fd), "probe")
	defer func() { _ = file.Close() }()
	std, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return nbio.NBConn(std)
}

// send makes the poller read one byte.
func (p *probe) send() error {
	_, err := p.peer.Write([]byte{0})
	return err
}

// close ends the peer; a poller then ends its side.
func (p *probe) close(added bool) {
	_ = p.peer.Close()
	if !added {
		_ = p.conn.Close()
	}
}
