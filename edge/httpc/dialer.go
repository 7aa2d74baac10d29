package httpc

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// dialerQueueCapacity is the number of dials that may wait for one dialer.
const dialerQueueCapacity = 256

// dialer is a thread that establishes connections, one at a time. Dialing
// blocks the thread, so a client has several dialers and gives each dial to the
// one with the fewest pending.
//
// The asynchronous dial of nbio is not usable for IPv4: it reads the first four
// bytes of the sixteen-byte form of the address, which are zero.
type dialer struct {
	inbox  *ring.Ring[*pendingDial]
	client *Client
	thread *thread.Thread
	// pending is the number of dials queued or in progress. The client's thread
	// owns it.
	pending int
}

func newDialer(name string, c *Client) *dialer {
	return &dialer{inbox: ring.New[*pendingDial](name, dialerQueueCapacity), client: c}
}

func (d *dialer) start(name string) {
	d.thread = thread.Start(name, d.run)
}

func (d *dialer) run() error {
	for {
		next, err := d.inbox.Take()
		if err != nil {
			return nil
		}
		d.dial(next)
	}
}

// translateError converts a network timeout into a *TimeoutError, so that the
// call fails with the same error whether the dialer or Client.expireDials
// notices first that ConnectTimeout has passed.
func (d *dialer) translateError(err error) error {
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		return &TimeoutError{Limit: d.client.config.ConnectTimeout}
	}
	return err
}

func (d *dialer) dial(next *pendingDial) {
	result := &dialResult{dial: next, dialer: d}
	if left := time.Until(next.deadline); left <= 0 {
		result.err = &TimeoutError{Limit: d.client.config.ConnectTimeout}
	} else if conn, err := net.DialTimeout("tcp", next.call.Address, left); err != nil {
		result.err = d.translateError(err)
	} else {
		result.conn, result.err = d.client.addConnection(conn, next.call.Address)
	}
	if d.client.inbox.Offer(event{dialed: result}) == nil {
		return
	}
	if result.conn != nil {
		_ = result.conn.conn.Close()
	}
	next.fail(&CanceledError{})
}
