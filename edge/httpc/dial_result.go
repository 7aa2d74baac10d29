package httpc

// dialResult is the outcome of a dial. Exactly one of conn and err is set.
type dialResult struct {
	dial   *pendingDial
	dialer *dialer
	conn   *connection
	err    error
}
