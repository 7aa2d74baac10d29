package spread

import "time"

const (
	defaultLinks        = 4
	defaultHeartbeat    = 2 * time.Second
	defaultSuspectAfter = 7 * time.Second
	defaultGoneAfter    = 10 * time.Second
	defaultForgetAfter  = 24 * time.Hour
	defaultAskTimeout   = time.Second
	defaultReportDelay  = 200 * time.Millisecond
	defaultProbeEvery   = 30 * time.Second
)

// Config configures a Node. Zero values mean defaults.
type Config struct {
	// Links is the number of processes that a node links to by its own choice.
	Links int
	// Seeds are the link addresses that are tried while no member is known.
	Seeds []string
	// Heartbeat is the interval between two heartbeats on a link.
	Heartbeat time.Duration
	// SuspectAfter is how long a peer may be silent before its link is dropped.
	SuspectAfter time.Duration
	// GoneAfter is how long a lost peer may stay away before it counts as gone.
	GoneAfter time.Duration
	// ForgetAfter is how long members that are gone are remembered.
	ForgetAfter time.Duration
	// AskTimeout is how long a node waits for what it asked for.
	AskTimeout time.Duration
	// ReportDelay is how long reports are collected before they are passed on.
	ReportDelay time.Duration
	// ProbeEvery is the interval between two attempts to reach an address that
	// no live member has.
	ProbeEvery time.Duration
}

func (c Config) withDefaults() Config {
	if c.Links == 0 {
		c.Links = defaultLinks
	}
	setDefault(&c.Heartbeat, defaultHeartbeat)
	setDefault(&c.SuspectAfter, defaultSuspectAfter)
	setDefault(&c.GoneAfter, defaultGoneAfter)
	setDefault(&c.ForgetAfter, defaultForgetAfter)
	setDefault(&c.AskTimeout, defaultAskTimeout)
	setDefault(&c.ReportDelay, defaultReportDelay)
	setDefault(&c.ProbeEvery, defaultProbeEvery)
	return c
}

func setDefault(p *time.Duration, value time.Duration) {
	if *p == 0 {
		*p = value
	}
}
