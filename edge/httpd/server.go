package httpd

import (
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/edge/http1"
	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

// handlerGoroutines is the number of goroutines that tell the Handler of connections that
// have ended. A Handler only offers to a ring, so a few are enough for any load.
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
	// maxBodyBytes is what SetMaxBodyBytes has set; 0 if nothing.
	maxBodyBytes atomic.Int64
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
		NPoller:                s.config.Pollers,
		LockPoller:             true,
		MaxLoad:                s.config.MaxConnections,
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

// read passes received bytes to their connection. nbhttp gives each new one a parser of its
// own, which is replaced before its first byte: nbhttp accepts requests that can be
// understood in two ways.
func (s *Server) read(c *nbio.Conn, data []byte) {
	state, ok := c.Session().(*session)
	if !ok {
		if _, ok := c.Session().(*nbhttp.Parser); !ok {
			// The connection is a probe of pollers.Await.
			c.DataHandler()(c, data)
			return
		}
		state = &session{conn: c}
		state.connection.Store(newConnection(s, c))
		c.SetSession(state)
	}
	if err := state.Parse(data); err != nil {
		_ = c.CloseWithError(err)
	}
}

// SetMaxBodyBytes lowers the limit on the body of a request below that of Config; 0 takes
// that of Config. It applies to requests whose heads arrive from now on.
func (s *Server) SetMaxBodyBytes(limit int) {
	s.maxBodyBytes.Store(int64(limit))
}

// limits returns the limits on a request.
func (s *Server) limits() http1.Limits {
	limits := http1.Limits{Head: s.config.MaxHeaderBytes, Body: s.config.MaxBodyBytes}
	if lower := int(s.maxBodyBytes.Load()); lower > 0 {
		limits.Body = min(limits.Body, lower)
	}
	return limits
}

// Address returns the IP and port that Config.Address is bound to, after Open.
func (s *Server) Address() string {
	return s.address
}

// Close closes the listeners and all connections.
func (s *Server) Close() {
	s.engine.Stop()
}
