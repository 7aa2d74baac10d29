package link

import "github.com/quic-go/quic-go"

// accepted is a connection that a peer dialled.
type accepted struct {
	conn *quic.Conn
}

func (accepted) isEvent() {}
