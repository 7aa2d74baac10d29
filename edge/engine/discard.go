package engine

import "net/http"

// discard is the sink of a call whose answer does not matter.
type discard struct{}

// Head implements httpc.Sink.
func (discard) Head(int, http.Header) {}

// Body implements httpc.Sink.
func (discard) Body([]byte) {}

// Done implements httpc.Sink.
func (discard) Done() {}

// Failed implements httpc.Sink.
func (discard) Failed(error) {}
