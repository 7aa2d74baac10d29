package httpc_test

import (
	"net"
	"sync/atomic"
)

// openCounter is a listener that counts the open connections that it has accepted. The
// end of one is noticed when its server reads it.
type openCounter struct {
	net.Listener
	open atomic.Int64
}

func newOpenCounter(ln net.Listener) *openCounter { return &openCounter{Listener: ln} }

// Accept implements net.Listener.
func (o *openCounter) Accept() (net.Conn, error) {
	conn, err := o.Listener.Accept()
	if err != nil {
		return nil, err
	}
	o.open.Add(1)
	return &countedConn{Conn: conn, counter: o}, nil
}

func (o *openCounter) count() int64 { return o.open.Load() }
