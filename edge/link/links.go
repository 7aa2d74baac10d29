package link

import (
	"context"
	"net"
	"os"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// bufferWarningVariable is the environment variable that turns off the warning
// about the UDP receive buffer, which quic-go would print as a line outside the
// structured log.
const bufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// Links manages the links of this process to other processes.
type Links struct {
	config     Config
	metrics    *metrics
	inbox      *ring.Ring[event]
	dialQueues []*ring.Ring[Target]
	slots      []*slot
	rings      atomic.Pointer[outboundRings]
	address    string
	conn       net.PacketConn
	transport  *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns Links. Open opens the socket.
func New(config Config) *Links {
	l := &Links{config: config.withDefaults(), metrics: newMetrics(config.Registry)}
	l.inbox = ring.New[event]("links", inboxCapacity+2*l.config.MaxLinks)
	for range dialThreads {
		l.dialQueues = append(l.dialQueues, ring.New[Target]("dials", dialQueueCapacity))
	}
	l.rings.Store(&outboundRings{})
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for range l.config.MaxLinks {
		l.slots = append(l.slots, newSlot(&l.config, l.inbox, l.metrics))
	}
	return l
}

// ThreadCount returns the number of threads that Open starts.
func (l *Links) ThreadCount() int {
	const linksAndAccept = 2
	return linksAndAccept + dialThreads + 2*len(l.slots)
}

// Open opens the socket and starts the threads in a group. It fails with a
// *ListenError or an *AdvertiseError.
func (l *Links) Open(group *thread.Group) error {
	if err := l.listen(); err != nil {
		return err
	}
	if err := l.advertise(); err != nil {
		l.closeSocket()
		return err
	}
	manager := newManager(l)
	group.Start("links", manager.run)
	group.Start("accept", l.accept)
	for _, targets := range l.dialQueues {
		group.Start("dial", func() error { return l.dial(targets) })
	}
	for _, s := range l.slots {
		group.Start("link-reader", s.read)
		group.Start("link-writer", s.write)
	}
	l.config.Log.Info().Str("address", l.address).Int("max_links", l.config.MaxLinks).Msg("links_opened")
	return nil
}

// Send queues a message for a peer. If it fails, with a *NoLinkError or a
// *ring.FullError, the message is not sent. A queued message is lost if the link
// ends before it is sent. The caller must not modify the message afterwards.
func (l *Links) Send(id string, m wire.Message) error {
	outbound, ok := (*l.rings.Load())[id]
	if !ok {
		return &NoLinkError{ID: id}
	}
	err := outbound.Offer(m)
	switch err.(type) {
	case nil:
		return nil
	case *ring.FullError:
		l.metrics.refused.Inc()
		return err
	default:
		return &NoLinkError{ID: id}
	}
}

// SetTargets replaces the set of processes to keep links to. Links that this
// process dialed to other targets are released.
func (l *Links) SetTargets(targets []Target) error {
	return l.post(targetsChanged{targets: targets})
}

// Drop closes the link to a peer that has become unresponsive. If the peer is a
// target, it is dialed again.
func (l *Links) Drop(id string) error {
	return l.post(dropRequested{id: id})
}

// RequestStatus asks for the state of all links. It is passed to reply on the
// links thread; reply must not block and should only offer to a ring.
func (l *Links) RequestStatus(reply func([]Status)) error {
	return l.post(statusRequested{reply: reply})
}

// Address returns the address that this process listens on.
func (l *Links) Address() string {
	return l.address
}

// Self returns the Hello that this process sends to its peers. Its LinkAddress is
// final after Open.
func (l *Links) Self() wire.Hello {
	return l.config.Self
}

// RingStats returns the state of the inbox of the links thread.
func (l *Links) RingStats() ring.Stats {
	return l.inbox.Stats()
}

// Close closes all links and ends the threads.
func (l *Links) Close() {
	l.cancel()
	l.inbox.Close()
}

// post offers an event that is caused from outside: by a caller of this package or
// by a peer that dials. Such events may fill the inbox only up to
// inboxRequestCapacity. The rest is kept for the results of slots and dials, which
// must not be lost.
func (l *Links) post(e event) error {
	if l.inbox.Stats().Depth >= inboxRequestCapacity {
		return &ring.FullError{Ring: "links", Capacity: inboxRequestCapacity}
	}
	return l.inbox.Offer(e)
}

func (l *Links) listen() error {
	// Nothing else in the process reads this variable.
	_ = os.Setenv(bufferWarningVariable, "true")
	l.conn = l.config.Conn
	if l.conn == nil {
		address, err := net.ResolveUDPAddr("udp", l.config.Listen)
		if err != nil {
			return &ListenError{Address: l.config.Listen, Err: err}
		}
		conn, err := net.ListenUDP("udp", address)
		if err != nil {
			return &ListenError{Address: l.config.Listen, Err: err}
		}
		l.conn = conn
	}
	l.address = l.conn.LocalAddr().String()
	l.transport = &quic.Transport{Conn: l.conn}
	listener, err := l.transport.Listen(l.config.TLS, l.quicConfig())
	if err != nil {
		_ = l.conn.Close()
		return &ListenError{Address: l.address, Err: err}
	}
	l.listener = listener
	return nil
}

// advertise sets the LinkAddress of Self to the bound address if it is empty.
func (l *Links) advertise() error {
	if l.config.Self.LinkAddress != "" {
		return nil
	}
	address, ok := l.conn.LocalAddr().(*net.UDPAddr)
	if ok && address.IP.IsUnspecified() {
		return &AdvertiseError{Address: l.address}
	}
	l.config.Self.LinkAddress = l.address
	return nil
}

func (l *Links) closeSocket() {
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.conn.Close()
}

func (l *Links) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           l.config.DialTimeout,
		MaxIdleTimeout:                 l.config.IdleTimeout,
		KeepAlivePeriod:                l.config.IdleTimeout / 3,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: streamWindowBytes,
		MaxConnectionReceiveWindow:     maxConnectionBytes,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// accept passes incoming connections to the links thread. It is the function of
// the accept thread.
func (l *Links) accept() error {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return nil
		}
		if err := l.post(accepted{conn: conn}); err != nil {
			refusal := &TooManyLinksError{MaxLinks: l.config.MaxLinks}
			_ = conn.CloseWithError(closeCode(refusal), "")
		}
	}
}

// dial connects to one queued target after another. It is the function of a dial
// thread.
func (l *Links) dial(targets *ring.Ring[Target]) error {
	for {
		target, err := targets.Take()
		if err != nil {
			return nil
		}
		conn, err := l.connect(target.Address)
		// Offer fails only if the inbox is closed: post keeps room for this event.
		if offerErr := l.inbox.Offer(dialed{target: target, conn: conn, err: err}); offerErr != nil && conn != nil {
			_ = conn.CloseWithError(codeReleased, "")
		}
	}
}

func (l *Links) connect(address string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.config.DialTimeout)
	defer cancel()
	conn, err := l.transport.Dial(ctx, udp, l.config.TLS, l.quicConfig())
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return conn, nil
}
