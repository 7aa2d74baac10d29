package httpc

import "net/http"

// Sink receives the response to one call. Its methods are called one at a time,
// on the threads of the client, and must not block: they should copy what they
// need and offer it to a ring. The last call is either Done or Failed, exactly
// once.
type Sink interface {
	// Head receives the status and the header of the response.
	Head(status int, header http.Header)
	// Body receives the next bytes of the body. The slice is valid only until Body
	// returns. An error rejects the response: the connection is closed, and Failed
	// follows.
	Body(p []byte) error
	// Done reports that the response is complete.
	Done()
	// Failed reports that there is no complete response. The error is a
	// *NotSentError if no byte of the request can have left this process, and an
	// *IncompleteError otherwise.
	Failed(err error)
}
