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

// operatorsCapacity has room for the requests that wait and the answers that
// are reserved.
const operatorsCapacity = 128

// stopSlots are the slots set aside for stops: one to drain and one to end.
const stopSlots = 2

// operators is the duty that decodes the operators' requests and encodes the
// answers. It implements httpd.Handler.
type operators struct {
	inbox   *ring.Ring[operatorsEvent]
	planner *ring.Ring[plannerEvent]
	log     zerolog.Logger
	clock   clock.Clock
	limit   time.Duration
	open    map[uint64]*httpd.Exchange
	last    uint64
	// draining is true after the first stop; the duty ends at the deadline.
	draining bool
	deadline clock.Instant
}

func newOperators(planner *ring.Ring[plannerEvent], log zerolog.Logger, clk clock.Clock, limit time.Duration) *operators {
	o := &operators{
		inbox:   ring.New[operatorsEvent]("operators", operatorsCapacity),
		planner: planner,
		log:     log,
		clock:   clk,
		limit:   limit,
		open:    make(map[uint64]*httpd.Exchange),
	}
	for range stopSlots {
		// A new ring has room.
		_ = o.inbox.Reserve()
	}
	return o
}

// stop begins the drain, or ends it. Any thread may call it.
func (o *operators) stop() {
	_ = o.inbox.OfferReserved(operatorsEvent{stop: true})
}

// Serve implements httpd.Handler.
func (o *operators) Serve(x *httpd.Exchange) {
	if err := o.inbox.Offer(operatorsEvent{exchange: x}); err != nil {
		_ = operator.ReplyError(x, err)
	}
}

// Disconnected implements httpd.Handler. A command goes on without its caller, and the
// write of its answer fails by itself.
func (o *operators) Disconnected(*httpd.Exchange) {}

// run returns when the inbox was closed or a drain is complete.
func (o *operators) run() error {
	for !o.isDrained() {
		e, ok, err := o.take()
		if err != nil {
			break
		}
		if ok {
			o.handle(e)
		}
	}
	o.refuseRest()
	o.abandon()
	return nil
}

// refuseRest refuses the requests that still wait for the duty.
func (o *operators) refuseRest() {
	for {
		e, ok, _ := o.inbox.TakeUntil(0)
		if !ok {
			return
		}
		o.draining = true
		o.handle(e)
	}
}

func (o *operators) take() (operatorsEvent, bool, error) {
	if o.draining {
		return o.inbox.TakeUntil(o.deadline.Sub(o.clock.Now()))
	}
	e, err := o.inbox.Take()
	return e, err == nil, err
}

func (o *operators) isDrained() bool {
	return o.draining && (len(o.open) == 0 || !o.clock.Now().Before(o.deadline))
}

func (o *operators) handle(e operatorsEvent) {
	switch {
	case e.exchange != nil:
		o.begin(e.exchange)
	case e.answer != nil:
		o.end(e.answer)
	case e.stop:
		o.drain()
	case e.dump != nil:
		_ = e.dump.Offer(report.Section{Name: "operators", State: operatorsDump{Open: len(o.open), Served: o.last, Draining: o.draining}})
	}
}

// drain takes no more requests. The second time it ends the duty.
func (o *operators) drain() {
	o.deadline = o.clock.Now()
	if !o.draining {
		o.deadline = o.deadline.Add(o.limit)
	}
	o.draining = true
	o.log.Info().Int("open", len(o.open)).Dur("limit", o.limit).Msg("drain_started")
}

func (o *operators) begin(x *httpd.Exchange) {
	if o.draining {
		_ = operator.ReplyError(x, &operator.Problem{Status: http.StatusServiceUnavailable, Code: operator.Unavailable, Detail: "this controller is stopping"})
		return
	}
	c, err := operator.Decode(x)
	if err != nil {
		_ = operator.ReplyError(x, err)
		return
	}
	if err := o.pass(c, x); err != nil {
		_ = operator.ReplyError(x, err)
	}
}

// pass offers a command to the planner and reserves the slot of its answer.
func (o *operators) pass(c operator.Command, x *httpd.Exchange) error {
	if err := o.inbox.Reserve(); err != nil {
		return err
	}
	o.last++
	if err := o.planner.Offer(plannerEvent{command: &command{ticket: o.last, Command: c}}); err != nil {
		o.inbox.Release()
		return err
	}
	o.open[o.last] = x
	return nil
}

func (o *operators) end(a *answer) {
	x, ok := o.open[a.ticket]
	if !ok {
		return
	}
	delete(o.open, a.ticket)
	if a.err != nil {
		_ = operator.ReplyError(x, a.err)
		return
	}
	_ = operator.ReplyJSON(x, a.status, a.body)
}

// abandon answers what is open at the end of the duty. A confirmation may have
// taken effect.
func (o *operators) abandon() {
	problem := &operator.Problem{Status: http.StatusServiceUnavailable, Code: operator.OutcomeUnknown, Detail: "this controller has stopped"}
	for _, x := range o.open {
		_ = operator.ReplyError(x, problem)
	}
	o.log.Info().Int("cut", len(o.open)).Msg("operators_ended")
}
