package collect

import "net/http"

// Sink gathers an answer and then calls a function once. It implements
// httpc.Sink.
type Sink struct {
	limit  int
	done   func(Answer, error)
	answer Answer
	over   bool
}

// New makes a sink for a body of at most limitBytes. The function gets the
// whole answer, or a *TooLargeError, or the error of the call.
func New(limitBytes int, done func(Answer, error)) *Sink {
	return &Sink{limit: limitBytes, done: done}
}

// Head implements httpc.Sink.
func (s *Sink) Head(status int, header http.Header) {
	s.answer.Status = status
	s.answer.Header = header
}

// Body implements httpc.Sink.
func (s *Sink) Body(p []byte) {
	if s.over || len(s.answer.Body)+len(p) > s.limit {
		s.over = true
		s.answer.Body = nil
		return
	}
	s.answer.Body = append(s.answer.Body, p...)
}

// Done implements httpc.Sink.
func (s *Sink) Done() {
	if s.over {
		s.done(Answer{}, &TooLargeError{LimitBytes: s.limit})
		return
	}
	s.done(s.answer, nil)
}

// Failed implements httpc.Sink.
func (s *Sink) Failed(err error) {
	s.done(Answer{}, err)
}
