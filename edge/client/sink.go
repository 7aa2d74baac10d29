package client

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/sse"
)

// partCapacity is the capacity of the ring between the HTTP client's threads and the
// thread that uses the Client.
const partCapacity = 64

// sink passes a response through a ring to the thread that uses the Client. While
// the ring is full, events are kept and go with the next part; a slot is reserved
// for the last part, so that its offer never fails. It implements httpc.Sink.
type sink struct {
	parts   *ring.Ring[responsePart]
	status  int
	header  http.Header
	stream  bool
	line    []byte
	current streamEvent
	pending []streamEvent
	body    []byte
}

func newSink() *sink {
	s := &sink{parts: ring.New[responsePart]("answer", partCapacity)}
	// A new ring has a free slot, so this can't fail.
	_ = s.parts.Reserve()
	return s
}

// Head implements httpc.Sink.
func (s *sink) Head(status int, header http.Header) {
	s.status = status
	s.header = header
	s.stream = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// Body implements httpc.Sink.
func (s *sink) Body(p []byte) error {
	if !s.stream {
		s.body = append(s.body, p...)
		return nil
	}
	for len(p) > 0 {
		line, rest, found := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, line...)
		if !found {
			break
		}
		s.readLine(string(bytes.TrimSuffix(s.line, []byte("\r"))))
		s.line = s.line[:0]
		p = rest
	}
	if len(s.pending) > 0 && s.parts.Offer(responsePart{events: s.pending, status: s.status}) == nil {
		s.pending = nil
	}
	if len(s.line) > sse.MaxEventBytes {
		return &sse.EventSizeError{}
	}
	return nil
}

// Done implements httpc.Sink.
func (s *sink) Done() {
	s.end(nil)
}

// Failed implements httpc.Sink.
func (s *sink) Failed(err error) {
	s.end(err)
}

func (s *sink) end(err error) {
	_ = s.parts.OfferReserved(responsePart{events: s.pending, isLast: true, err: err, status: s.status, body: s.body})
}

func (s *sink) readLine(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "event":
		s.current.name = value
	case "data":
		s.current.data = append(s.current.data, value...)
	case "":
		if s.current.name != "" {
			s.pending = append(s.pending, s.current)
		}
		s.current = streamEvent{}
	}
}
