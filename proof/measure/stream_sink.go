package measure

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// streamSink tells when a stream has begun and when it has ended. It implements
// httpc.Sink.
type streamSink struct {
	begun *ring.Ring[bool]
	ended *ring.Ring[error]
}

// Head implements httpc.Sink.
func (s *streamSink) Head(int, http.Header) { _ = s.begun.Offer(true) }

// Body implements httpc.Sink.
func (*streamSink) Body([]byte) error { return nil }

// Done implements httpc.Sink.
func (s *streamSink) Done() { _ = s.ended.Offer(nil) }

// Failed implements httpc.Sink.
func (s *streamSink) Failed(err error) { _ = s.ended.Offer(err) }
