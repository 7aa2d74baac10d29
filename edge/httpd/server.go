package httpd

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

// handlerGoroutines is the number of goroutines that call the Handler. A Handler
// only offers to a ring, so a few are enough for any load.
const handlerGoroutines = 4

// Server accepts connections and passes parsed requests to a Handler.
type Server struct {
	config  Config
	handler Handler
	engine  *nbhttp.Engine
	address string
	// acceptCount orders the writes of the accepting thread to a new connection
	// before the reads of its poller. nbio relies on epoll for that order, which
	// the Go memory model and the race detector do not know of. Only the atomic
	// access matters, the count itself is not used.
	acceptCount atomic.Uint64
}

// New returns a server. Open starts it.
func New(config Config, handler Handler) *Server {
	return &Server{config: config.withDefaults(), handler: handler}
}

// Open starts to listen and serve; Close stops it. It fails with a *ListenError
// or a *pollers.StartError.
func (s *Server) Open() error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	addresses := make([]string, 0, len(listeners))
	for address := range listeners {
		addresses = append(addresses, address)
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  addresses,
		Listen:                 func(_, address string) (net.Listener, error) { return listeners[address], nil },
		Handler:                http.HandlerFunc(s.serve),
		NPoller:                s.config.Pollers,
		LockPoller:             true,
		MaxLoad:                s.config.MaxConnections,
		MaxHTTPBodySize:        s.config.MaxBodyBytes,
		ReadLimit:              s.config.MaxBodyBytes + s.config.MaxHeaderBytes,
		ReadBufferSize:         16 << 10,
		MaxWriteBufferSize:     s.config.MaxWriteBytes,
		MessageHandlerPoolSize: handlerGoroutines,
		KeepaliveTime:          s.config.IdleTimeout,
		SupportServerOnly:      true,
	})
	s.installHooks()
	if err := s.engine.Start(); err != nil {
		return &ListenError{Address: s.config.Address, Err: err}
	}
	return pollers.Await(s.engine.Engine)
}

// listen opens the listeners of all addresses, keyed by the address that each
// one is bound to.
func (s *Server) listen() (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener, 1+len(s.config.ExtraAddresses))
	for _, wanted := range append([]string{s.config.Address}, s.config.ExtraAddresses...) {
		ln, err := net.Listen("tcp", wanted)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, &ListenError{Address: wanted, Err: err}
		}
		address := ln.Addr().String()
		if s.address == "" {
			s.address = address
		}
		listeners[address] = ln
	}
	return listeners, nil
}

// installHooks replaces the engine's handling of received bytes by read, and
// accesses acceptCount at the accept of a connection and at each read.
func (s *Server) installHooks() {
	s.engine.OnOpen(func(net.Conn) { s.acceptCount.Add(1) })
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		_ = s.acceptCount.Load()
		s.read(c, data)
	})
}

// read parses received bytes. nbhttp closes a connection on a malformed request
// without a response; read sends one first.
func (s *Server) read(c *nbio.Conn, data []byte) {
	session, ok := c.Session().(nbhttp.ParserCloser)
	if !ok {
		// The connection is a probe of pollers.Await.
		c.DataHandler()(c, data)
		return
	}
	err := session.Parse(data)
	if err == nil {
		return
	}
	parser, ok := session.(*nbhttp.Parser)
	if !ok || errors.Is(err, net.ErrClosed) {
		_ = c.CloseWithError(err)
		return
	}
	malformed := &MalformedError{Remote: c.RemoteAddr().String(), Err: err}
	if s.config.OnMalformed != nil {
		s.config.OnMalformed(malformed)
	}
	if state, ok := parser.Processor.(*connection); ok && state.isBusy() {
		// An error response would end up inside the response in progress.
		_ = c.CloseWithError(malformed)
		return
	}
	if _, err := c.Write(malformed.response()); err != nil {
		_ = c.CloseWithError(malformed)
		return
	}
	// Don't close yet: closing with unread bytes resets the connection, and the
	// client may lose the response.
	c.SetSession(&discardingParser{ParserCloser: session})
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// Address returns the IP and port that Config.Address is bound to, after Open.
func (s *Server) Address() string {
	return s.address
}

// Close closes the listeners and all connections.
func (s *Server) Close() {
	s.engine.Stop()
}

// serve is the nbhttp handler. It copies the request, hijacks the connection so
// that nbhttp sends no response of its own, and serves or queues the exchange.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	parser := res.Parser
	conn, _, err := res.Hijack()
	if err != nil {
		return
	}
	state := s.stateOf(parser)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		pollers.Shutdown(conn)
		return
	}
	x := &Exchange{
		Method:      r.Method,
		Host:        r.Host,
		Target:      r.RequestURI,
		Path:        r.URL.Path,
		Query:       r.URL.Query(),
		Header:      r.Header.Clone(),
		Body:        body,
		Remote:      r.RemoteAddr,
		Local:       conn.LocalAddr().String(),
		Arrived:     time.Now(),
		conn:        conn,
		state:       state,
		idleTimeout: s.config.IdleTimeout,
		keepAlive:   !r.Close,
	}
	if !state.serveOrQueue(x) {
		// The client pipelined more than one request.
		pollers.Shutdown(conn)
	}
}

// stateOf returns the connection of a parser. The first call for a parser
// installs it as the parser's processor.
func (s *Server) stateOf(parser *nbhttp.Parser) *connection {
	if state, ok := parser.Processor.(*connection); ok {
		return state
	}
	processor, ok := parser.Processor.(*nbhttp.ServerProcessor)
	if !ok {
		processor = &nbhttp.ServerProcessor{}
	}
	state := &connection{ServerProcessor: processor, handler: s.handler}
	parser.Processor = state
	return state
}
