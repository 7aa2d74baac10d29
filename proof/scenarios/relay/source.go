package relay

import (
	"net"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// maxDatagramBytes bounds a datagram.
const maxDatagramBytes = 64 << 10

// source is one sender of datagrams; answers of the target go back to it.
type source struct {
	relay   *Relay
	address *net.UDPAddr
	conn    *net.UDPConn
	thread  *thread.Thread
}

// run is the duty that passes answers back. It returns when conn is closed.
func (s *source) run() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := s.conn.Read(buffer)
		if isClosed(err) {
			return nil
		}
		if err != nil || s.relay.isCut.Load() {
			// The target is away, or the network is cut: the datagram is lost.
			continue
		}
		// What can't be sent is lost, as datagrams are.
		_, _ = s.relay.sockets.udp.WriteToUDP(buffer[:n], s.address)
	}
}
