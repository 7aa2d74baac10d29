package entry

import "net/http"

// peerSink collects and decodes the response of another gateway. It implements
// httpc.Sink.
type peerSink[T any] struct {
	maxBytes int
	decode   func([]byte) (T, error)
	done     func(T, error)
	status   int
	body     []byte
}

// Head implements httpc.Sink.
func (s *peerSink[T]) Head(status int, _ http.Header) {
	s.status = status
}

// Body implements httpc.Sink.
func (s *peerSink[T]) Body(p []byte) error {
	if len(s.body)+len(p) > s.maxBytes {
		return &PollRefusedError{Status: s.status, IsTooLarge: true}
	}
	s.body = append(s.body, p...)
	return nil
}

// Done implements httpc.Sink.
func (s *peerSink[T]) Done() {
	if s.status != http.StatusOK {
		s.Failed(&PollRefusedError{Status: s.status})
		return
	}
	s.done(s.decode(s.body))
}

// Failed implements httpc.Sink.
func (s *peerSink[T]) Failed(err error) {
	var none T
	s.done(none, err)
}
