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

// handlerPool is the number of goroutines that run decoded requests. They only
// copy and offer, so a few are enough for any load.
const handlerPool = 4

// Server accepts connections and hands decoded requests to a Handler.
type Server struct {
	config  Config
	handler Handler
	engine  *nbhttp.Engine
	address string
	// accepted counts connections; see orderAccepts.
	accepted atomic.Uint64
}

// New makes a server; Open starts it.
func New(config Config, handler Handler) *Server {
	return &Server{config: config.withDefaults(), handler: handler}
}

// Open listens and serves until Close. It fails with a *ListenError or a
// *pollers.StartError.
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
		MessageHandlerPoolSize: handlerPool,
		KeepaliveTime:          s.config.IdleTimeout,
		SupportServerOnly:      true,
	})
	s.orderAccepts()
	if err := s.engine.Start(); err != nil {
		return &ListenError{Address: s.config.Address, Err: err}
	}
	return pollers.Await(s.engine.Engine)
}

// listen opens all addresses. The listeners stand under their addresses.
func (s *Server) listen() (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener, 1+len(s.config.Also))
	for _, wanted := range append([]string{s.config.Address}, s.config.Also...) {
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

// orderAccepts makes what the listener's thread wrote of a new connection
// visible to the poller that reads it. The library leaves that to the kernel,
// which orders the two in fact, but not by the memory model of the language.
func (s *Server) orderAccepts() {
	s.engine.OnOpen(func(net.Conn) { s.accepted.Add(1) })
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		_ = s.accepted.Load()
		s.read(c, data)
	})
}

// read parses what came on a connection. Where the library would close a
// connection whose bytes are no HTTP, the caller is told first.
func (s *Server) read(c *nbio.Conn, data []byte) {
	session, ok := c.Session().(nbhttp.ParserCloser)
	if !ok {
		// It is no caller's: see pollers.Await.
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
	if s.config.Malformed != nil {
		s.config.Malformed(malformed)
	}
	if state, ok := parser.Processor.(*connection); ok && state.open.Load() != nil {
		// The bytes of an answer that is under way can't be told from a refusal.
		_ = c.CloseWithError(malformed)
		return
	}
	if _, err := c.Write(malformed.answer()); err != nil {
		_ = c.CloseWithError(malformed)
		return
	}
	// Were it closed here, with bytes unread, the answer might be lost on its way.
	c.SetSession(&discarding{ParserCloser: session})
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// Address returns the first IP and port listened on, known after Open.
func (s *Server) Address() string {
	return s.address
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.engine.Stop()
}

// serve runs on a goroutine of the library: it copies the request, takes over
// the connection and hands the exchange on.
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
		_ = conn.Close()
		return
	}
	x := &Exchange{
		Method:    r.Method,
		Host:      r.Host,
		Target:    r.RequestURI,
		Path:      r.URL.Path,
		Query:     r.URL.Query(),
		Header:    r.Header.Clone(),
		Body:      body,
		Remote:    r.RemoteAddr,
		Local:     conn.LocalAddr().String(),
		Arrived:   time.Now(),
		conn:      conn,
		state:     state,
		idle:      s.config.IdleTimeout,
		keepAlive: !r.Close,
	}
	if !state.begin(x) {
		// Two requests were sent before the answer to the one before them.
		_ = conn.Close()
	}
}

// stateOf returns the state of a connection, made at its first request.
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
