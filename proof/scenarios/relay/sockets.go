package relay

import "net"

// portTries bounds the search for a port that is free for TCP and UDP.
const portTries = 50

// sockets are the two sockets of a relay on one port.
type sockets struct {
	tcp *net.TCPListener
	udp *net.UDPConn
}

func listen() (*sockets, error) {
	var last error
	for range portTries {
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		port := tcp.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err == nil {
			return &sockets{tcp: tcp, udp: udp}, nil
		}
		last = err
		_ = tcp.Close()
	}
	return nil, &PortError{Err: last}
}

func (s *sockets) close() {
	_ = s.tcp.Close()
	_ = s.udp.Close()
}
