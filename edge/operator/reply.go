package operator

// reply is the whole answer to a call, or why there is none.
type reply struct {
	status int
	body   []byte
	err    error
}
