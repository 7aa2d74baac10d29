package controller

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// operatorsCapacity bounds the queued requests and the slots reserved for
// results.
const operatorsCapacity = 128

// stopSlots are the inbox slots reserved for stop: the first call starts the
// drain, the second ends it.
const stopSlots = 2

// operators is the duty that decodes the operators' requests and encodes the
// responses. It implements httpd.Handler.
type operators struct {
	inbox        *ring.Ring[operatorsEvent]
	planner      *ring.Ring[plannerEvent]
	log          zerolog.Logger
	clock        clock.Clock
	drainTimeout time.Duration
	pending      map[uint64]*httpd.Exchange
	lastID       uint64
	// draining is true after the first stop. The duty then returns at the deadline
	// at the latest.
	draining bool
	deadline clock.Instant
}

func newOperators(planner *ring.Ring[plannerEvent], log zerolog.Logger, clk clock.Clock, drainTimeout time.Duration) *operators {
	o := &operators{
		inbox:        ring.New[operatorsEvent]("operators", operatorsCapacity),
		planner:      planner,
		log:          log,
		clock:        clk,
		drainTimeout: drainTimeout,
		pending:      make(map[uint64]*httpd.Exchange),
	}
	for range stopSlots {
		// A new ring has free slots.
		_ = o.inbox.Reserve()
	}
	return o
}

// stop starts the drain, or ends it if already started. It may be called from
// any thread.
func (o *operators) stop() {
	_ = o.inbox.OfferReserved(operatorsEvent{stop: true})
}

// Serve implements httpd.Handler.
func (o *operators) Serve(x *httpd.Exchange) {
	if err := o.inbox.Offer(operatorsEvent{exchange: x}); err != nil {
		_ = operator.ReplyError(x, err)
	}
}

// Disconnected implements httpd.Handler. A command continues without its caller;
// writing its response then fails.
func (o *operators) Disconnected(*httpd.Exchange) {}

// run returns when the inbox was closed or a drain is complete.
func (o *operators) run() error {
	for !o.isDrained() {
		e, ok, err := o.nextEvent()
		if err != nil {
			break
		}
		if ok {
			o.handle(e)
		}
	}
	o.rejectQueued()
	o.failPending()
	return nil
}

// rejectQueued rejects the requests that are still in the inbox.
func (o *operators) rejectQueued() {
	for {
		e, ok, _ := o.inbox.TakeUntil(0)
		if !ok {
			return
		}
		o.draining = true
		o.handle(e)
	}
}

func (o *operators) nextEvent() (operatorsEvent, bool, error) {
	if o.draining {
		return o.inbox.TakeUntil(o.deadline.Sub(o.clock.Now()))
	}
	e, err := o.inbox.Take()
	return e, err == nil, err
}

func (o *operators) isDrained() bool {
	return o.draining && (len(o.pending) == 0 || !o.clock.Now().Before(o.deadline))
}

func (o *operators) handle(e operatorsEvent) {
	switch {
	case e.exchange != nil:
		o.accept(e.exchange)
	case e.result != nil:
		o.respond(e.result)
	case e.stop:
		o.drain()
	case e.dump != nil:
		_ = e.dump.Offer(report.Section{Name: "operators", State: operatorsDump{Open: len(o.pending), Served: o.lastID, Draining: o.draining}})
	}
}

// drain stops accepting requests. The second call makes the duty return at
// once.
func (o *operators) drain() {
	o.deadline = o.clock.Now()
	if !o.draining {
		o.deadline = o.deadline.Add(o.drainTimeout)
	}
	o.draining = true
	o.log.Info().Int("open", len(o.pending)).Dur("limit", o.drainTimeout).Msg("drain_started")
}

func (o *operators) accept(x *httpd.Exchange) {
	if o.draining {
		_ = operator.ReplyError(x, &operator.Problem{Status: http.StatusServiceUnavailable, Code: operator.Unavailable, Detail: "this controller is stopping"})
		return
	}
	c, err := operator.Decode(x)
	if err != nil {
		_ = operator.ReplyError(x, err)
		return
	}
	if err := o.forward(c, x); err != nil {
		_ = operator.ReplyError(x, err)
	}
}

// forward passes a command to the planner, after reserving a slot for its
// result.
func (o *operators) forward(c operator.Command, x *httpd.Exchange) error {
	if err := o.inbox.Reserve(); err != nil {
		return err
	}
	o.lastID++
	if err := o.planner.Offer(plannerEvent{command: &command{requestID: o.lastID, Command: c}}); err != nil {
		o.inbox.Release()
		return err
	}
	o.pending[o.lastID] = x
	return nil
}

func (o *operators) respond(r *commandResult) {
	x, ok := o.pending[r.requestID]
	if !ok {
		return
	}
	delete(o.pending, r.requestID)
	if r.err != nil {
		_ = operator.ReplyError(x, r.err)
		return
	}
	_ = operator.ReplyJSON(x, r.status, r.body)
}

// failPending responds to the requests still pending when the duty ends. Their
// outcome is unknown, as a confirmation may have taken effect.
func (o *operators) failPending() {
	problem := &operator.Problem{Status: http.StatusServiceUnavailable, Code: operator.OutcomeUnknown, Detail: "this controller has stopped"}
	for _, x := range o.pending {
		_ = operator.ReplyError(x, problem)
	}
	o.log.Info().Int("cut", len(o.pending)).Msg("operators_ended")
}
