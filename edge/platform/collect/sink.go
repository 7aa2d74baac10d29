package collect

import "net/http"

// Sink collects a response and then calls a function exactly once. It implements
// httpc.Sink.
type Sink struct {
	limit    int
	done     func(Response, error)
	response Response
	tooLarge bool
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
func (s *Sink) Body(p []byte) {
	if s.tooLarge || len(s.response.Body)+len(p) > s.limit {
		s.tooLarge = true
		s.response.Body = nil
		return
	}
	s.response.Body = append(s.response.Body, p...)
}

// Done implements httpc.Sink.
func (s *Sink) Done() {
	if s.tooLarge {
		s.done(Response{}, &TooLargeError{LimitBytes: s.limit})
		return
	}
	s.done(s.response, nil)
}

// Failed implements httpc.Sink.
func (s *Sink) Failed(err error) {
	s.done(Response{}, err)
}
