package relay

import "net"

// message is what the duty of a relay is told.
type message struct {
	accepted *net.TCPConn
	isCut    bool
	isHealed bool
}
