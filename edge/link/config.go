package link

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// Protocol is the application protocol that both sides must name.
const Protocol = "sycamore/1"

const (
	defaultMaxLinks       = 24
	defaultOutboundSlots  = 256
	defaultDialTimeout    = 2 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	defaultRetryBase      = 200 * time.Millisecond
	defaultRetryMax       = 5 * time.Second
	handshakeTimeout      = 3 * time.Second
	visitTime             = 500 * time.Millisecond
	crowdedRetry          = time.Second
	visitorShare          = 6
	dialers               = 2
	dialSlots             = 4
	streamWindowBytes     = 256 << 10
	maxStreamWindowBytes  = 1 << 20
	maxConnectionBytes    = 2 << 20
	inboxSlots            = 1024
	inboxSlotsForRequests = inboxSlots / 2
)

// Config configures Links. Zero values of times and sizes mean defaults.
type Config struct {
	// Self introduces this process. LinkAddress may be empty: then it is the
	// address that Listen led to.
	Self wire.Hello
	// Listen is the IP and port to listen on; port 0 lets the system choose.
	Listen string
	// Conn is an open socket to use in place of Listen; nil for none.
	Conn net.PacketConn
	// TLS is the configuration that keys.Load returns.
	TLS *tls.Config
	// Handler learns of links and messages.
	Handler Handler
	// Log takes the events.
	Log zerolog.Logger
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer
	// MaxLinks bounds the number of links. A sixth of them is kept for visitors:
	// processes that link when all others are in use, learn the members and are
	// released after half a second.
	MaxLinks int
	// OutboundSlots is the number of messages that may wait for one peer.
	OutboundSlots int
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long a link may be silent.
	IdleTimeout time.Duration
	// WriteTimeout is how long a peer may take no bytes.
	WriteTimeout time.Duration
	// RetryBase is the first wait before an attempt to connect is repeated.
	RetryBase time.Duration
	// RetryMax is the longest such wait.
	RetryMax time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxLinks, defaultMaxLinks)
	setDefault(&c.OutboundSlots, defaultOutboundSlots)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.RetryBase, defaultRetryBase)
	setDefault(&c.RetryMax, defaultRetryMax)
	return c
}

// visitors returns the number of links that are kept for visitors.
func (c *Config) visitors() int {
	return c.MaxLinks / visitorShare
}

func setDefault[T int | time.Duration](p *T, value T) {
	if *p == 0 {
		*p = value
	}
}
