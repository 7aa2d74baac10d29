package httpc

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// dialerSlots is the number of connections that may wait for one dialer.
const dialerSlots = 256

// dialer is a duty that makes connections, one after another. The making of a
// connection blocks its thread, so that a client has a few dialers and gives a
// new connection to the one with the fewest waiting.
//
// The network library's own dialing can't be used: it takes the first four of
// the sixteen bytes in which an IPv4 address is held, which are zero.
type dialer struct {
	inbox  *ring.Ring[*dialing]
	client *Client
	thread *thread.Thread
	// pending is the number of connections that it was given and that have not
	// come back. The client's duty owns it.
	pending int
}

func newDialer(name string, c *Client) *dialer {
	return &dialer{inbox: ring.New[*dialing](name, dialerSlots), client: c}
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

// cause gives a timeout of the network our type: the duty keeps the same limit,
// and either may find first that it has passed.
func (d *dialer) cause(err error) error {
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		return &TimeoutError{Limit: d.client.config.ConnectTimeout}
	}
	return err
}

func (d *dialer) dial(next *dialing) {
	made := &dialed{dialing: next, dialer: d}
	if left := time.Until(next.until); left <= 0 {
		made.err = &TimeoutError{Limit: d.client.config.ConnectTimeout}
	} else if conn, err := net.DialTimeout("tcp", next.call.Address, left); err != nil {
		made.err = d.cause(err)
	} else {
		made.conn, made.err = d.client.setUp(conn, next.call.Address)
	}
	if d.client.inbox.Offer(event{connected: made}) == nil {
		return
	}
	if made.conn != nil {
		_ = made.conn.conn.Close()
	}
	next.fail(&CanceledError{})
}
