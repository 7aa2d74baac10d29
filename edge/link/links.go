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

// bufferWarningVariable turns off a warning that the QUIC library would print
// as a raw line. Links logs the size of the buffer as an event in its place.
const bufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// Links are the connections of this process to other processes.
type Links struct {
	config    Config
	counts    *counts
	inbox     *ring.Ring[event]
	dials     []*ring.Ring[Target]
	slots     []*slot
	table     atomic.Pointer[table]
	address   string
	conn      net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
}

// New makes Links. Nothing is opened before Open.
func New(config Config) *Links {
	l := &Links{config: config.withDefaults(), counts: newCounts(config.Registry)}
	l.inbox = ring.New[event]("links", inboxSlots+2*l.config.MaxLinks)
	for range dialers {
		l.dials = append(l.dials, ring.New[Target]("dials", dialSlots))
	}
	l.table.Store(&table{})
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for range l.config.MaxLinks {
		l.slots = append(l.slots, newSlot(&l.config, l.inbox, l.counts))
	}
	return l
}

// Duties returns the number of duties that Open starts.
func (l *Links) Duties() int {
	const linksAndAccept = 2
	return linksAndAccept + dialers + 2*len(l.slots)
}

// Open opens the socket and starts the duties in a group. It fails with a
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
	for _, targets := range l.dials {
		group.Start("dial", func() error { return l.dial(targets) })
	}
	for _, s := range l.slots {
		group.Start("link-reader", s.read)
		group.Start("link-writer", s.write)
	}
	l.config.Log.Info().Str("address", l.address).Int("max_links", l.config.MaxLinks).Msg("links_opened")
	return nil
}

// Send offers a message to the outbound ring of a peer. It fails with a
// *NoLinkError or a *ring.FullError; then the message was not sent. Without an
// error it was queued, and it is lost if the link ends first. The message must
// not be changed afterwards.
func (l *Links) Send(id string, m wire.Message) error {
	outbound, ok := (*l.table.Load())[id]
	if !ok {
		return &NoLinkError{ID: id}
	}
	err := outbound.Offer(m)
	switch err.(type) {
	case nil:
		return nil
	case *ring.FullError:
		l.counts.refused.Inc()
		return err
	default:
		return &NoLinkError{ID: id}
	}
}

// SetTargets says which processes to be linked to. Links to earlier targets
// that are no longer named are released.
func (l *Links) SetTargets(targets []Target) error {
	return l.request(targetsSet{targets: targets})
}

// Drop ends the link to a peer that does not answer.
func (l *Links) Drop(id string) error {
	return l.request(dropAsked{id: id})
}

// Describe gives the state of all links to answer, on the thread of the links
// duty: answer only offers to a ring.
func (l *Links) Describe(answer func([]Status)) error {
	return l.request(statusAsked{answer: answer})
}

// Address returns the address that this process listens on.
func (l *Links) Address() string {
	return l.address
}

// Self returns how this process introduces itself, after Open.
func (l *Links) Self() wire.Hello {
	return l.config.Self
}

// RingStats returns the state of the inbox of the links duty.
func (l *Links) RingStats() ring.Stats {
	return l.inbox.Stats()
}

// Close releases all links and ends the duties.
func (l *Links) Close() {
	l.cancel()
	l.inbox.Close()
}

// request offers an event of another duty. A half of the inbox is kept for the
// events of the links themselves.
func (l *Links) request(e event) error {
	if l.inbox.Stats().Depth >= inboxSlotsForRequests {
		return &ring.FullError{Ring: "links", Capacity: inboxSlotsForRequests}
	}
	return l.inbox.Offer(e)
}

func (l *Links) listen() error {
	// The process has no other user of the variable.
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

// advertise makes sure that Self names the address for links.
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

// accept is the accept duty.
func (l *Links) accept() error {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return nil
		}
		if err := l.request(accepted{conn: conn}); err != nil {
			refusal := &TooManyError{MaxLinks: l.config.MaxLinks}
			_ = conn.CloseWithError(codeOf(refusal), "")
		}
	}
}

// dial is a dial duty.
func (l *Links) dial(targets *ring.Ring[Target]) error {
	for {
		target, err := targets.Take()
		if err != nil {
			return nil
		}
		conn, err := l.connect(target.Address)
		// The inbox has room for the events of the dial duties until it is closed.
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
