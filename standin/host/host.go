package host

import (
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// ControlPrefix begins the paths that no fault switch touches.
const ControlPrefix = "/standin/"

// faultsPath shows and sets the fault switches.
const faultsPath = ControlPrefix + "faults"

// Host is a running stand-in. Post may be called by any thread; Run is the
// duty; all else belongs to the duty.
type Host struct {
	config   Config
	clock    clock.Clock
	inbox    *ring.Ring[event]
	server   *httpd.Server
	behavior Behavior
	timers   timers
	calls    map[*httpd.Exchange]*Call
	switches *switches
	common   http.Header // of all answers
}

// New makes a host; Open starts its server.
func New(config Config) *Host {
	h := &Host{
		config: config,
		clock:  config.Clock,
		inbox:  ring.New[event](config.Name, inboxCapacity),
		calls:  make(map[*httpd.Exchange]*Call),
		common: make(http.Header),
	}
	if h.clock == nil {
		h.clock = clock.System{}
	}
	h.switches = newSwitches(h)
	h.server = httpd.New(httpd.Config{
		Address:      config.Address,
		Pollers:      pollers,
		MaxBodyBytes: config.MaxBodyBytes,
	}, h)
	return h
}

// Open listens. The behavior is set before the first request.
func (h *Host) Open(behavior Behavior) error {
	h.behavior = behavior
	return h.server.Open()
}

// Address returns the IP and port listened on, known after Open.
func (h *Host) Address() string { return h.server.Address() }

// Close ends the server with all its connections, and the duty.
func (h *Host) Close() {
	h.inbox.Close()
	h.server.Close()
}

// Post runs f on the duty. It fails as ring.Offer does, and f is then not run.
func (h *Host) Post(f func()) error { return h.inbox.Offer(event{run: f}) }

// After runs f on the duty after a time.
func (h *Host) After(d time.Duration, f func()) {
	h.timers.add(h.Now().Add(d), f)
}

// SetHeader adds a field to all answers from now on.
func (h *Host) SetHeader(name, value string) { h.common.Set(name, value) }

// withCommon returns the header of an answer with the fields that all answers have.
func (h *Host) withCommon(header http.Header) http.Header {
	if len(h.common) == 0 {
		return header
	}
	all := h.common.Clone()
	maps.Copy(all, header)
	return all
}

// Now returns the present instant.
func (h *Host) Now() clock.Instant { return h.clock.Now() }

// Faults returns the fault switches.
func (h *Host) Faults() Faults { return h.switches.faults }

// SetFaults replaces the fault switches. It is called on the duty, through
// Post.
func (h *Host) SetFaults(faults Faults) { h.switches.set(faults) }

// Serve implements httpd.Handler.
func (h *Host) Serve(x *httpd.Exchange) {
	if h.inbox.Offer(event{served: x}) != nil {
		x.Abort()
	}
}

// Disconnected implements httpd.Handler. When the ring is full, the next write to the
// connection fails instead.
func (h *Host) Disconnected(x *httpd.Exchange) { _ = h.inbox.Offer(event{gone: x}) }

// Run is the duty. It returns after Close.
func (h *Host) Run() error {
	for {
		e, ok, err := h.take()
		if err != nil {
			return nil
		}
		if ok {
			h.handle(e)
		}
		h.timers.runDue(h.Now())
	}
}

func (h *Host) take() (event, bool, error) {
	if h.timers.Len() == 0 {
		e, err := h.inbox.Take()
		return e, err == nil, err
	}
	return h.inbox.TakeUntil(h.timers.list[0].due.Sub(h.Now()))
}

func (h *Host) handle(e event) {
	switch {
	case e.served != nil:
		h.served(e.served)
	case e.gone != nil:
		h.gone(e.gone)
	case e.run != nil:
		e.run()
	}
}

func (h *Host) served(x *httpd.Exchange) {
	c := &Call{
		Method:   x.Method,
		Path:     x.Path,
		Query:    x.Query,
		Header:   x.Header,
		Body:     x.Body,
		host:     h,
		exchange: x,
		exempt:   strings.HasPrefix(x.Path, ControlPrefix),
	}
	h.calls[x] = c
	switch {
	case x.Path == faultsPath:
		h.switches.serve(c)
	case c.exempt:
		h.behavior.Serve(c)
	default:
		h.switches.receive(c)
	}
}

func (h *Host) gone(x *httpd.Exchange) {
	c := h.calls[x]
	if c == nil {
		return
	}
	c.end()
	h.behavior.Gone(c)
}
