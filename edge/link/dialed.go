package link

import "github.com/quic-go/quic-go"

// dialed is the end of an attempt to connect.
type dialed struct {
	target Target
	conn   *quic.Conn
	err    error
}

func (dialed) isEvent() {}
