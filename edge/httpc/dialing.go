package httpc

import (
	"sync/atomic"
	"time"
)

// dialing is a connection being made for a call. Whoever sets ended, the duty or
// a poller, tells the sink.
type dialing struct {
	call  *Call
	until time.Time
	ended atomic.Bool
}

// fail tells the sink that nothing was sent, unless the dialing has ended.
func (d *dialing) fail(cause error) {
	if d.ended.CompareAndSwap(false, true) {
		d.call.Sink.Failed(&NotSentError{Address: d.call.Address, Err: cause})
	}
}
