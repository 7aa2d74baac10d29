package operator

// reply is the complete response to a call, or the error of the call.
type reply struct {
	status int
	body   []byte
	err    error
}
