package spread

import "time"

const (
	defaultLinks             = 4
	defaultHeartbeatInterval = 2 * time.Second
	defaultSuspectAfter      = 7 * time.Second
	defaultGoneAfter         = 10 * time.Second
	defaultForgetAfter       = 24 * time.Hour
	defaultRequestTimeout    = time.Second
	defaultReportDelay       = 200 * time.Millisecond
	defaultProbeInterval     = 30 * time.Second
)

// Config configures a Node. Zero values mean defaults.
type Config struct {
	// Links is the number of peers that a node connects to. Links that peers
	// open to it come on top.
	Links int
	// Seeds are the link addresses to connect to while the node has too few
	// links. Later they are probed, in case a process behind one is unknown.
	Seeds []string
	// HeartbeatInterval is the interval between two heartbeats on a link.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a peer may be silent before its link is dropped.
	SuspectAfter time.Duration
	// GoneAfter is how long after the loss of its link a member is declared
	// gone.
	GoneAfter time.Duration
	// ForgetAfter is how long a gone member stays in the list of members.
	ForgetAfter time.Duration
	// RequestTimeout is how long a node waits for the answer to a SyncRequest
	// before it asks another peer.
	RequestTimeout time.Duration
	// ReportDelay is how long configuration reports are batched before they are
	// forwarded.
	ReportDelay time.Duration
	// ProbeInterval is the interval between two attempts to reach a seed or a
	// gone member that may be a process missing from the list.
	ProbeInterval time.Duration
}

func (c Config) withDefaults() Config {
	if c.Links == 0 {
		c.Links = defaultLinks
	}
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.SuspectAfter, defaultSuspectAfter)
	setDefault(&c.GoneAfter, defaultGoneAfter)
	setDefault(&c.ForgetAfter, defaultForgetAfter)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.ReportDelay, defaultReportDelay)
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	return c
}

func setDefault(p *time.Duration, value time.Duration) {
	if *p == 0 {
		*p = value
	}
}
