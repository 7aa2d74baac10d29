package relay

import "net"

// message is what the duty of a relay is told.
type message struct {
	accepted *net.TCPConn
	state    *State
	isReset  bool
}
