package httpc

// body handles the body of one response as it arrives.
type body interface {
	// read handles received bytes and returns those that follow the body. An error
	// rejects the response.
	read(data []byte) (rest []byte, err error)
}
