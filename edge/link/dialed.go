package link

import "github.com/quic-go/quic-go"

// dialed is the event of a finished attempt to connect. Exactly one of conn and
// err is set.
type dialed struct {
	target Target
	conn   *quic.Conn
	err    error
}

func (dialed) isEvent() {}
