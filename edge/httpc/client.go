package httpc

import (
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

// longestWait is how long the duty waits when no connection is being made.
const longestWait = time.Minute

// Client makes calls over reused connections. Start and Cancel may be called
// by any thread; Run is the client's duty.
type Client struct {
	config Config
	inbox  *ring.Ring[event]
	engine *nbhttp.Engine
	idle   map[string][]*connection
	// dialings are the connections being made, in the order of their limits.
	dialings []*dialing
	dialers  []*dialer
	reader   *reader
}

// New makes a client; Open starts its pollers.
func New(config Config) *Client {
	config = config.withDefaults()
	return &Client{
		config: config,
		inbox:  ring.New[event](config.Name, config.Capacity),
		idle:   make(map[string][]*connection),
		reader: newReader(),
	}
}

// Open starts the pollers.
func (c *Client) Open() error {
	c.engine = nbhttp.NewEngine(nbhttp.Config{
		NPoller:                c.config.Pollers,
		LockPoller:             true,
		MessageHandlerPoolSize: 2,
		SupportServerOnly:      true,
	})
	c.reader.attach(c.engine)
	if err := c.engine.Start(); err != nil {
		return err
	}
	if err := pollers.Await(c.engine.Engine); err != nil {
		return err
	}
	for i := range c.config.Dialers {
		name := c.config.Name + "-dial" + strconv.Itoa(i)
		d := newDialer(name, c)
		d.start(name)
		c.dialers = append(c.dialers, d)
	}
	return nil
}

// Close ends the duty, which ends all connections. The sinks of calls that are
// open then may hear nothing more.
func (c *Client) Close() {
	c.inbox.Close()
}

// Start begins a call. When it fails, with a *ring.FullError or a
// *ring.ClosedError, nothing was sent and the sink hears nothing.
func (c *Client) Start(call *Call) error {
	return c.inbox.Offer(event{call: call})
}

// Cancel gives a call up: its connection is closed, which the server sees, and
// its sink hears Failed unless the answer ended first.
func (c *Client) Cancel(call *Call) error {
	return c.inbox.Offer(event{cancel: call})
}

// Stats returns a snapshot of the client's ring.
func (c *Client) Stats() ring.Stats {
	return c.inbox.Stats()
}

// Run is the duty that owns the connections. It returns after Close.
func (c *Client) Run() error {
	for {
		wait := c.expireDials(time.Now())
		e, ok, err := c.inbox.TakeUntil(wait)
		if err != nil {
			c.end()
			return nil
		}
		if ok {
			c.handle(e)
		}
	}
}

// end fails the calls without a connection and stops the library. Only this
// duty begins connections, so none begins while the library waits for the end
// of all.
func (c *Client) end() {
	for _, d := range c.dialings {
		d.fail(&CanceledError{})
	}
	for _, d := range c.dialers {
		d.inbox.Close()
		// A dialer never fails.
		_ = d.thread.Join()
	}
	c.engine.Stop()
}

func (c *Client) handle(e event) {
	switch {
	case e.call != nil:
		c.begin(e.call)
	case e.cancel != nil:
		c.cancel(e.cancel)
	case e.connected != nil:
		c.connected(e.connected)
	case e.free != nil:
		c.keep(e.free)
	}
}

func (c *Client) begin(call *Call) {
	for {
		conn := c.takeIdle(call.Address)
		if conn == nil {
			c.dial(call)
			return
		}
		if c.send(conn, call) {
			return
		}
	}
}

func (c *Client) takeIdle(address string) *connection {
	list := c.idle[address]
	now := time.Now()
	for len(list) > 0 {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		if conn.isClosed() {
			continue
		}
		if conn.isStale(now) {
			_ = conn.conn.Close()
			continue
		}
		return conn
	}
	delete(c.idle, address)
	return nil
}

// send writes the request. It returns false when the connection had ended
// before the first byte; then the sink has heard nothing.
func (c *Client) send(conn *connection, call *Call) bool {
	out, err := call.encode()
	if err != nil {
		call.Sink.Failed(&NotSentError{Address: call.Address, Err: err})
		c.keep(conn)
		return true
	}
	if conn.isClosed() {
		return false
	}
	if call.NotAfter != 0 && !(clock.System{}).Now().Before(call.NotAfter) {
		call.Sink.Failed(&NotSentError{Address: call.Address, Err: &TooLateError{}})
		c.keep(conn)
		return true
	}
	_ = conn.conn.SetReadDeadline(deadline(call.Timeout))
	call.conn = conn
	conn.current.Store(call)
	if conn.isClosed() && conn.current.CompareAndSwap(call, nil) {
		return false
	}
	// A failed write closes the connection, and its end tells the sink.
	_, _ = conn.conn.Write(out)
	return true
}

func (c *Client) cancel(call *Call) {
	call.canceled = true
	if call.conn != nil && call.conn.current.Load() == call {
		_ = call.conn.conn.CloseWithError(&CanceledError{})
	}
}

// free runs on a poller at the end of an answer.
func (c *Client) free(conn *connection) {
	if c.inbox.Offer(event{free: conn}) != nil {
		_ = conn.conn.Close()
	}
}

func (c *Client) keep(conn *connection) {
	list := c.idle[conn.address]
	if len(list) >= c.config.MaxIdle {
		_ = conn.conn.Close()
		return
	}
	conn.freed = time.Now()
	_ = conn.conn.SetReadDeadline(conn.freed.Add(c.config.IdleTimeout))
	c.idle[conn.address] = append(list, conn)
}

func deadline(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}
