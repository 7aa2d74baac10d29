package httpc

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

// idleWait bounds the wait for an event while no dial is pending.
const idleWait = time.Minute

// Client makes calls over pooled connections. Start and Cancel may be called
// from any thread; Run takes a thread of its own, called "the client's thread"
// in this package.
type Client struct {
	config Config
	inbox  *ring.Ring[event]
	engine *nbhttp.Engine
	idle   map[string][]*connection
	// pendingDials are sorted by deadline: all have the same timeout.
	pendingDials []*pendingDial
	dialers      []*dialer
	reader       *reader
	// lastNumber is that of the connection that was made last.
	lastNumber atomic.Uint64
}

// New returns a client. Open starts its pollers and dialers.
func New(config Config) *Client {
	config = config.withDefaults()
	return &Client{
		config: config,
		inbox:  ring.New[event](config.Name, config.Capacity),
		idle:   make(map[string][]*connection),
		reader: newReader(),
	}
}

// Open starts the pollers and the dialer threads.
func (c *Client) Open() error {
	c.engine = nbhttp.NewEngine(nbhttp.Config{
		NPoller:                c.config.Pollers,
		LockPoller:             true,
		MessageHandlerPoolSize: 2,
		ReadLimit:              MaxChunkBytes + MaxHeadBytes,
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

// Close makes Run close all connections and return. Calls that are still open
// may end without a call to Done or Failed of their sinks.
func (c *Client) Close() {
	c.inbox.Close()
}

// Start queues a call. When it fails, with a *ring.FullError or a
// *ring.ClosedError, nothing is sent and the sink is not called.
func (c *Client) Start(call *Call) error {
	return c.inbox.Offer(event{call: call})
}

// Cancel cancels a call. Its connection is closed, so the server notices, and
// its sink's Failed is called unless the response was already complete. A call
// that waits for a connection fails when the dial ends.
func (c *Client) Cancel(call *Call) error {
	return c.inbox.Offer(event{cancel: call})
}

// Stats returns the state of the ring that queues calls and internal events.
func (c *Client) Stats() ring.Stats {
	return c.inbox.Stats()
}

// Run processes calls and events until Close. Only Run writes requests and
// accesses the pool of idle connections.
func (c *Client) Run() error {
	for {
		wait := c.expireDials(time.Now())
		e, ok, err := c.inbox.TakeUntil(wait)
		if err != nil {
			c.shutDown()
			return nil
		}
		if ok {
			c.handle(e)
		}
	}
}

// shutDown fails the calls that wait for a connection, joins the dialers and
// stops the pollers. The dialers are joined first, so that no connection is
// added while nbio waits until all are closed.
func (c *Client) shutDown() {
	for _, d := range c.pendingDials {
		d.fail(&CanceledError{})
	}
	for _, d := range c.dialers {
		d.inbox.Close()
		// run of a dialer always returns nil.
		_ = d.thread.Join()
	}
	c.engine.Stop()
}

func (c *Client) handle(e event) {
	switch {
	case e.call != nil:
		c.startCall(e.call)
	case e.cancel != nil:
		c.cancel(e.cancel)
	case e.dialed != nil:
		c.onDialed(e.dialed)
	case e.released != nil:
		c.putIdle(e.released)
	}
}

// startCall sends a call on an idle connection, or dials when there is none or the
// call is exclusive.
func (c *Client) startCall(call *Call) {
	if call.Exclusive {
		c.dial(call)
		return
	}
	for {
		conn := c.takeIdle(call)
		if conn == nil {
			c.dial(call)
			return
		}
		if c.send(conn, call) {
			return
		}
	}
}

// takeIdle removes from the pool the most recently used connection to the address of a
// call that has not carried its ID, and returns it. If all have carried it, takeIdle closes
// the least recently used one, in whose place a new one comes, and returns nil.
func (c *Client) takeIdle(call *Call) *connection {
	list := c.idle[call.Address]
	defer func() { c.setIdle(call.Address, list) }()
	call.skipped = 0
	now := time.Now()
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if conn.isStale(now) || !pollers.IsQuiet(conn.conn) {
			list = slices.Delete(list, i, i+1)
			pollers.Shutdown(conn.conn)
			continue
		}
		if conn.hasCarried(call) {
			call.skipped++
			continue
		}
		list = slices.Delete(list, i, i+1)
		return conn
	}
	if len(list) > 0 {
		pollers.Shutdown(list[0].conn)
		list = slices.Delete(list, 0, 1)
	}
	return nil
}

// setIdle replaces the idle connections to an address.
func (c *Client) setIdle(address string, list []*connection) {
	if len(list) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = list
}

// send writes the request. It returns false if the connection was closed before
// the first byte; then the sink has not been called and another connection may
// be tried.
func (c *Client) send(conn *connection, call *Call) bool {
	out, err := call.encode()
	if err != nil {
		call.Sink.Failed(&NotSentError{Address: call.Address, Err: err})
		c.putBack(conn)
		return true
	}
	if call.NotAfter != 0 && !(clock.System{}).Now().Before(call.NotAfter) {
		call.Sink.Failed(&NotSentError{Address: call.Address, Err: &ExpiredError{}})
		c.putBack(conn)
		return true
	}
	_ = conn.conn.SetReadDeadline(deadline(call.Timeout))
	call.conn = conn
	if call.OnSent != nil {
		call.OnSent(conn.describeSend(call))
	}
	if !conn.current.CompareAndSwap(nil, call) {
		return false
	}
	if conn.isClosed() && conn.current.CompareAndSwap(call, noCall) {
		return false
	}
	conn.recordSend(call)
	// A failed write closes the connection, and connection.Close calls the sink.
	_, _ = conn.conn.Write(out)
	return true
}

func (c *Client) cancel(call *Call) {
	call.canceled = true
	if call.conn != nil && call.conn.current.Load() == call {
		call.conn.canceled.Store(true)
		pollers.Shutdown(call.conn.conn)
	}
}

// release hands a connection whose response is complete to the client's thread
// for reuse. It is called on a poller.
func (c *Client) release(conn *connection) {
	if c.inbox.Offer(event{released: conn}) != nil {
		_ = conn.conn.Close()
	}
}

// putBack returns a connection to the pool over which nothing was sent since it was taken
// or made. It counts as idle for as long as before.
func (c *Client) putBack(conn *connection) {
	if conn.idleSince.IsZero() {
		c.putIdle(conn)
		return
	}
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// putIdle adds a connection to the pool, or closes it if the pool is full or the
// connection can carry no further IDs.
func (c *Client) putIdle(conn *connection) {
	list := c.idle[conn.address]
	if len(list) >= c.config.MaxIdle || conn.carried.isFull() {
		pollers.Shutdown(conn.conn)
		return
	}
	conn.idleSince = time.Now()
	_ = conn.conn.SetReadDeadline(conn.idleSince.Add(c.config.IdleTimeout))
	c.idle[conn.address] = append(list, conn)
}

// deadline returns the time at which a limit that starts now ends; the zero
// time, which sets no deadline, if there is no limit.
func deadline(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}
