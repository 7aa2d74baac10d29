package link

import "github.com/quic-go/quic-go"

// accepted is the event of a connection that a peer dialed.
type accepted struct {
	conn *quic.Conn
}

func (accepted) isEvent() {}
