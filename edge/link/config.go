package link

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// Protocol is the ALPN protocol that both sides must negotiate.
const Protocol = "sycamore/1"

const (
	// The defaults of Config.
	defaultMaxLinks         = 24
	defaultOutboundCapacity = 256
	defaultDialTimeout      = 2 * time.Second
	defaultIdleTimeout      = 15 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	defaultRetryBase        = 200 * time.Millisecond
	defaultRetryMax         = 5 * time.Second

	// handshakeTimeout bounds the exchange of Hello messages.
	handshakeTimeout = 3 * time.Second
	// temporaryLinkTime is the time after which a temporary link is released.
	temporaryLinkTime = 500 * time.Millisecond
	// peerFullRetry is the longest delay until a peer whose links were all in use
	// is dialed again.
	peerFullRetry = time.Second
	// One in temporaryLinkDivisor of MaxLinks is reserved for temporary links.
	temporaryLinkDivisor = 6
	dialThreads          = 2
	// dialQueueCapacity is the number of targets that may wait for one dial thread.
	dialQueueCapacity = 4

	// The flow control windows of QUIC.
	streamWindowBytes    = 256 << 10
	maxStreamWindowBytes = 1 << 20
	maxConnectionBytes   = 2 << 20

	// inboxCapacity is the capacity of the inbox of the links thread, without the
	// room for two events of each slot.
	inboxCapacity = 1024
	// inboxRequestCapacity is the depth of the inbox from which post refuses events.
	inboxRequestCapacity = inboxCapacity / 2
)

// Config configures Links. Zero durations and sizes mean the defaults.
type Config struct {
	// Self is the Hello that this process sends to its peers. If its LinkAddress
	// is empty, the address that the socket is bound to is used.
	Self wire.Hello
	// Listen is the IP and port to listen on; port 0 chooses a free port.
	Listen string
	// Conn is an open socket to use instead of Listen; it may be nil.
	Conn net.PacketConn
	// TLS is the configuration that keys.Load returns.
	TLS *tls.Config
	// Handler is told of links and messages.
	Handler Handler
	// Log receives the log events.
	Log zerolog.Logger
	// Registry is where the metrics are registered; nil registers none.
	Registry prometheus.Registerer
	// MaxLinks bounds the number of links. A sixth of them is reserved for
	// temporary links: when all others are in use, a process that dials this one
	// still gets a link, on which it learns the members of the cluster, and which
	// is released after half a second.
	MaxLinks int
	// OutboundCapacity is the number of messages that may wait for one peer.
	OutboundCapacity int
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long a link may receive nothing before it is closed.
	// Keep-alive packets are sent at a third of it.
	IdleTimeout time.Duration
	// WriteTimeout is how long the write of one message may take before the link
	// is closed.
	WriteTimeout time.Duration
	// RetryBase is the first span of the backoff between attempts to connect.
	RetryBase time.Duration
	// RetryMax is the longest span of that backoff.
	RetryMax time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxLinks, defaultMaxLinks)
	setDefault(&c.OutboundCapacity, defaultOutboundCapacity)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.RetryBase, defaultRetryBase)
	setDefault(&c.RetryMax, defaultRetryMax)
	return c
}

// temporaryLinks returns the number of links that are reserved for temporary
// links.
func (c *Config) temporaryLinks() int {
	return c.MaxLinks / temporaryLinkDivisor
}

func setDefault[T int | time.Duration](p *T, value T) {
	if *p == 0 {
		*p = value
	}
}
