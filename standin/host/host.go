package host

import (
	"encoding/json"
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
	faults   Faults
	throttle *Bucket
	held     []func()
}

// New makes a host; Open starts its server.
func New(config Config) *Host {
	h := &Host{
		config: config,
		clock:  config.Clock,
		inbox:  ring.New[event](config.Name, inboxCapacity),
		calls:  make(map[*httpd.Exchange]*Call),
	}
	if h.clock == nil {
		h.clock = clock.System{}
	}
	h.throttle = NewBucket(0, h.Now())
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

// Now returns the present instant.
func (h *Host) Now() clock.Instant { return h.clock.Now() }

// Faults returns the fault switches.
func (h *Host) Faults() Faults { return h.faults }

// Serve implements httpd.Handler.
func (h *Host) Serve(x *httpd.Exchange) {
	if h.inbox.Offer(event{served: x}) != nil {
		x.Abort()
	}
}

// Gone implements httpd.Handler. When the ring is full, the next write to the
// connection fails instead.
func (h *Host) Gone(x *httpd.Exchange) { _ = h.inbox.Offer(event{gone: x}) }

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
		h.switchFaults(c)
	case c.exempt:
		h.behavior.Serve(c)
	case h.faults.SlowMillis > 0:
		h.After(time.Duration(h.faults.SlowMillis)*time.Millisecond, func() { h.admit(c) })
	default:
		h.admit(c)
	}
}

// admit applies the switches that keep a call from being served.
func (h *Host) admit(c *Call) {
	switch {
	case h.faults.Down:
		h.outage(c)
	case h.faults.LoseRequests > 0:
		h.faults.LoseRequests--
		c.Abort()
	case !h.throttle.Take(1, h.Now()):
		h.behavior.Refuse(c, Throttled)
	default:
		if h.faults.LoseAnswers > 0 {
			h.faults.LoseAnswers--
			c.loseAnswer = true
		}
		h.behavior.Serve(c)
	}
}

func (h *Host) outage(c *Call) {
	switch h.faults.Mode {
	case ModeCut:
		c.Abort()
	case ModeError:
		h.behavior.Refuse(c, Failing)
	default:
		h.behavior.Refuse(c, Down)
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

func (h *Host) switchFaults(c *Call) {
	if c.Method == http.MethodPost {
		var faults Faults
		if err := json.Unmarshal(c.Body, &faults); err != nil || !faults.isValid() {
			c.Fail(http.StatusBadRequest, FailureInvalid, "not a valid set of faults")
			return
		}
		h.SetFaults(faults)
	}
	c.ReplyJSON(http.StatusOK, h.faults)
}

// SetFaults replaces the fault switches. Answers held so far are sent when
// Freeze is unset.
func (h *Host) SetFaults(faults Faults) {
	h.faults = faults
	h.throttle = NewBucket(faults.ThrottlePerSecond, h.Now())
	if faults.Freeze {
		return
	}
	held := h.held
	h.held = nil
	for _, step := range held {
		step()
	}
}
