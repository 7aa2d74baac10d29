package httpc

import (
	"sync/atomic"
	"time"
)

// pendingDial is a dial in progress for a call. The client's thread and a dialer
// may both end it; only the one that sets ended may call the sink.
type pendingDial struct {
	call     *Call
	deadline time.Time
	ended    atomic.Bool
}

// fail reports to the sink that nothing was sent, unless the dial has already
// ended.
func (d *pendingDial) fail(cause error) {
	if d.ended.CompareAndSwap(false, true) {
		d.call.Sink.Failed(&NotSentError{Address: d.call.Address, Err: cause})
	}
}
