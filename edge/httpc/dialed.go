package httpc

import "github.com/lesismal/nbio"

// dialed is the outcome of making a connection.
type dialed struct {
	call *Call
	conn *nbio.Conn
	err  error
}
