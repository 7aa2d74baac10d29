package entry

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// newsSink collects and decodes the response to a poll. It implements httpc.Sink.
type newsSink struct {
	done   func(exchange.News, error)
	status int
	body   []byte
}

// Head implements httpc.Sink.
func (s *newsSink) Head(status int, _ http.Header) {
	s.status = status
}

// Body implements httpc.Sink.
func (s *newsSink) Body(p []byte) error {
	if len(s.body)+len(p) > maxNewsBytes {
		return &PollRefusedError{Status: s.status, IsTooLarge: true}
	}
	s.body = append(s.body, p...)
	return nil
}

// Done implements httpc.Sink.
func (s *newsSink) Done() {
	if s.status != http.StatusOK {
		s.done(exchange.News{}, &PollRefusedError{Status: s.status})
		return
	}
	s.done(exchange.DecodeNews(s.body))
}

// Failed implements httpc.Sink.
func (s *newsSink) Failed(err error) {
	s.done(exchange.News{}, err)
}
