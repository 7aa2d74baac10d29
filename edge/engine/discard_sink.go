package engine

import "net/http"

// discardSink is an httpc.Sink that ignores the response and the failure of a
// call.
type discardSink struct{}

// Head implements httpc.Sink.
func (discardSink) Head(int, http.Header) {}

// Body implements httpc.Sink.
func (discardSink) Body([]byte) error { return nil }

// Done implements httpc.Sink.
func (discardSink) Done() {}

// Failed implements httpc.Sink.
func (discardSink) Failed(error) {}
