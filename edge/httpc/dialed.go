package httpc

// dialed is the outcome of making a connection.
type dialed struct {
	dialing *dialing
	conn    *connection
	err     error
}
