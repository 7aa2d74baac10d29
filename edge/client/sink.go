package client

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// eventSlots is the capacity of the ring between the connection and the caller.
const eventSlots = 64

// sink offers an answer to the caller's ring. When the ring is full the blocks
// wait for the next ones; a slot is reserved for the last event. It implements
// httpc.Sink.
type sink struct {
	events  *ring.Ring[event]
	status  int
	header  http.Header
	stream  bool
	line    []byte
	current block
	pending []block
	body    []byte
}

func newSink() *sink {
	s := &sink{events: ring.New[event]("answer", eventSlots)}
	// The ring is new, so there is room.
	_ = s.events.Reserve()
	return s
}

// Head implements httpc.Sink.
func (s *sink) Head(status int, header http.Header) {
	s.status = status
	s.header = header
	s.stream = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// Body implements httpc.Sink.
func (s *sink) Body(p []byte) {
	if !s.stream {
		s.body = append(s.body, p...)
		return
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
	if len(s.pending) > 0 && s.events.Offer(event{blocks: s.pending, status: s.status}) == nil {
		s.pending = nil
	}
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
	_ = s.events.OfferReserved(event{blocks: s.pending, isLast: true, err: err, status: s.status, body: s.body})
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
		s.current = block{}
	}
}
