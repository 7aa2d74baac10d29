package httpc

// dialed is the outcome of making a connection.
type dialed struct {
	call *Call
	conn *connection
	err  error
}
