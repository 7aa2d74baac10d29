package gateway

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
)

// maxLoadBytes limits the size of a load report.
const maxLoadBytes = 4 << 10

// loadSink decodes the load report of an upstream and offers it to dispatch.
// It implements httpc.Sink.
type loadSink struct {
	instance string
	dispatch *ring.Ring[dispatchMessage]
	status   int
	body     []byte
}

// Head implements httpc.Sink.
func (s *loadSink) Head(status int, _ http.Header) {
	s.status = status
}

// Body implements httpc.Sink.
func (s *loadSink) Body(p []byte) error {
	if len(s.body)+len(p) > maxLoadBytes {
		return &LoadSizeError{}
	}
	s.body = append(s.body, p...)
	return nil
}

// Done implements httpc.Sink. A report is dropped if it can't be decoded or
// the dispatch ring is full: the next probe replaces it.
func (s *loadSink) Done() {
	if s.status != http.StatusOK {
		return
	}
	load, err := engine.DecodeLoad(s.body, time.Now())
	if err != nil {
		return
	}
	_ = s.dispatch.Offer(loadReport{instance: s.instance, load: load})
}

// Failed implements httpc.Sink.
func (*loadSink) Failed(error) {}
