package relay

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// datagrams is the duty that passes datagrams on to the target, from a socket
// of its own for each sender.
type datagrams struct {
	relay   *Relay
	target  *net.UDPAddr
	sources map[string]*source
}

func (d *datagrams) run() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.relay.sockets.udp.ReadFromUDP(buffer)
		if isClosed(err) {
			return d.end()
		}
		if err != nil || d.relay.isCut.Load() {
			continue
		}
		s, err := d.source(from)
		if err != nil {
			return err
		}
		_, _ = s.conn.Write(buffer[:n])
	}
}

func (d *datagrams) source(from *net.UDPAddr) (*source, error) {
	if s := d.sources[from.String()]; s != nil {
		return s, nil
	}
	conn, err := net.DialUDP("udp", nil, d.target)
	if err != nil {
		return nil, err
	}
	s := &source{relay: d.relay, address: from, conn: conn}
	s.thread = thread.Start("source", s.run)
	d.sources[from.String()] = s
	return s, nil
}

func (d *datagrams) end() error {
	for _, s := range d.sources {
		_ = s.conn.Close()
	}
	var first error
	for _, s := range d.sources {
		if err := s.thread.Join(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
