package httpc

// dialed is the outcome of making a connection.
type dialed struct {
	dialing *dialing
	dialer  *dialer
	conn    *connection
	err     error
}
