package collect

import (
	"net/http"

	"github.com/go-faster/errors"
)

// Sink collects a response and then calls a function exactly once. It implements
// httpc.Sink.
type Sink struct {
	limit    int
	done     func(Response, error)
	response Response
}

// New returns a Sink for a body of at most limitBytes. It calls done with the
// complete response, with a *TooLargeError, or with the error of the call.
func New(limitBytes int, done func(Response, error)) *Sink {
	return &Sink{limit: limitBytes, done: done}
}

// Head implements httpc.Sink.
func (s *Sink) Head(status int, header http.Header) {
	s.response.Status = status
	s.response.Header = header
}

// Body implements httpc.Sink.
func (s *Sink) Body(p []byte) error {
	if len(s.response.Body)+len(p) > s.limit {
		s.response.Body = nil
		return &TooLargeError{LimitBytes: s.limit}
	}
	s.response.Body = append(s.response.Body, p...)
	return nil
}

// Done implements httpc.Sink.
func (s *Sink) Done() {
	s.done(s.response, nil)
}

// Failed implements httpc.Sink.
func (s *Sink) Failed(err error) {
	var tooLarge *TooLargeError
	if errors.As(err, &tooLarge) {
		err = tooLarge
	}
	s.done(Response{}, err)
}
