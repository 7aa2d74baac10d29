package httpc

import "net/http"

// Sink receives the answer to one call. Its methods are called one after
// another, on threads that must not be held up: they should copy and offer.
// Either Done or Failed comes last, and exactly once.
type Sink interface {
	// Head gives the status and the fields of the answer.
	Head(status int, header http.Header)
	// Body gives the next bytes of the body. The slice is reused on return.
	Body(p []byte)
	// Done says that the answer is whole.
	Done()
	// Failed says that there will be no whole answer. The error is a
	// *NotSentError when nothing of the request can have left this process,
	// else a *BrokenError.
	Failed(err error)
}
