package gateway

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// delivery is the duty that writes to callers. It buffers each answer until
// dispatch forgets it, so that callers can resume it.
type delivery struct {
	inbox       *ring.Ring[deliveryMessage]
	dispatch    *ring.Ring[dispatchMessage]
	address     string
	log         zerolog.Logger
	callers     map[dispatch.CallerHandle]*callerState
	exchanges   map[*httpd.Exchange]*callerState
	answers     map[request.ID]*bufferedAnswer
	gateways    []NamedAddress
	callersGone uint64
}

func newDelivery(log zerolog.Logger, dispatches *ring.Ring[dispatchMessage], inbox *ring.Ring[deliveryMessage]) *delivery {
	return &delivery{
		inbox:     inbox,
		dispatch:  dispatches,
		log:       log,
		callers:   make(map[dispatch.CallerHandle]*callerState),
		exchanges: make(map[*httpd.Exchange]*callerState),
		answers:   make(map[request.ID]*bufferedAnswer),
	}
}

func (d *delivery) run() error {
	for {
		m, err := d.inbox.Take()
		if err != nil {
			return nil
		}
		d.handle(m)
	}
}

func (d *delivery) handle(m deliveryMessage) {
	switch m := m.(type) {
	case registerCaller:
		d.register(m)
	case acceptCaller:
		d.accept(m)
	case attachCaller:
		d.attach(m)
	case refuseCaller:
		d.refuse(m)
	case confirmCancel:
		d.confirmCancel(m)
	case deliverPieces:
		d.deliver(m)
	case finishAnswer:
		d.finish(m)
	case forgetAnswer:
		d.forget(m.id)
	case startAnswer:
		d.startAnswer(m)
	case restoreAnswer:
		d.restoreAnswer(m)
	case redirectCallers:
		d.redirect(m)
	case callerGone:
		d.callerGone(d.exchanges[m.exchange])
	case setAddresses:
		d.gateways = m.gateways
	case dumpDelivery:
		_ = m.reply.Offer(report.Section{Name: "delivery", State: d.dump()})
	}
}

func (d *delivery) dump() deliveryDump {
	state := deliveryDump{Callers: len(d.callers), Answers: len(d.answers), CallersGone: d.callersGone}
	for _, b := range d.answers {
		state.AnswerBytes += b.log.Bytes()
	}
	return state
}

func (d *delivery) register(m registerCaller) {
	c := &callerState{handle: m.handle, exchange: m.exchange, id: m.id, streamed: m.streamed}
	d.callers[m.handle] = c
	d.exchanges[m.exchange] = c
}

func (d *delivery) accept(m acceptCaller) {
	b := d.answers[m.id]
	if b == nil || b.summary != nil {
		b = &bufferedAnswer{id: m.id, callers: make(map[dispatch.CallerHandle]*callerState)}
		d.answers[m.id] = b
	}
	c := d.callers[m.handle]
	if c == nil {
		d.checkCallersGone(b)
		return
	}
	d.subscribe(c, b)
}

func (d *delivery) attach(m attachCaller) {
	c := d.callers[m.handle]
	if c == nil {
		return
	}
	b := d.answers[m.id]
	if b == nil {
		d.removeCaller(c)
		c.exchange.Abort()
		return
	}
	c.nextPiece = m.from
	d.subscribe(c, b)
	if b.summary != nil {
		d.finishCaller(c, b)
	}
}

// subscribe attaches a caller to an answer and sends it the pieces there are.
// Later pieces follow as they come.
func (d *delivery) subscribe(c *callerState, b *bufferedAnswer) {
	c.isAttached = true
	b.callers[c.handle] = c
	if err := c.startStream(d.address); err != nil {
		d.callerGone(c)
		return
	}
	if err := c.sendPieces(b); err != nil {
		d.callerGone(c)
	}
}

func (d *delivery) refuse(m refuseCaller) {
	c := d.callers[m.handle]
	if c == nil {
		return
	}
	d.removeCaller(c)
	// An error means that the caller has disconnected.
	_ = caller.ReplyProblem(c.exchange, m.refusal, d.alternatives(m.refusal))
}

func (d *delivery) confirmCancel(m confirmCancel) {
	c := d.callers[m.handle]
	if c == nil {
		return
	}
	d.removeCaller(c)
	_ = c.exchange.Reply(http.StatusNoContent, nil, nil)
}

func (d *delivery) deliver(m deliverPieces) {
	b := d.answers[m.id]
	if b == nil {
		return
	}
	d.appendPieces(b, m.pieces)
	for _, c := range b.callers {
		if err := c.sendPieces(b); err != nil {
			d.callerGone(c)
		}
	}
}

func (d *delivery) appendPieces(b *bufferedAnswer, pieces []request.Piece) {
	if err := b.appendNew(pieces); err != nil {
		d.log.Error().Str("key", b.id.Key).Str("cause", err.Error()).Msg("answer_has_gap")
	}
}

func (d *delivery) finish(m finishAnswer) {
	b := d.answers[m.id]
	if b == nil {
		return
	}
	d.appendPieces(b, m.pieces)
	b.summary = &m.summary
	for _, c := range b.callers {
		d.finishCaller(c, b)
	}
}

// finishCaller sends a caller the rest and the end of an answer and removes
// the caller.
func (d *delivery) finishCaller(c *callerState, b *bufferedAnswer) {
	d.removeCaller(c)
	// An error means that the caller has disconnected.
	switch {
	case b.summary.Reply != nil:
		_ = writeReply(c.exchange, b.summary.Reply)
	case c.streamed:
		_ = d.finishStream(c, b)
	case b.summary.Refusal != nil:
		_ = caller.ReplyProblem(c.exchange, b.summary.Refusal, d.alternatives(b.summary.Refusal))
	default:
		_ = caller.ReplyJSON(c.exchange, http.StatusOK, caller.WholeAnswer{EndEvent: b.endEvent(), Text: b.log.Text()})
	}
}

func (d *delivery) finishStream(c *callerState, b *bufferedAnswer) error {
	if err := c.sendPieces(b); err != nil {
		return err
	}
	if r := b.summary.Refusal; r != nil {
		if err := c.sendEvent(caller.Failed, caller.NewProblem(r, d.alternatives(r))); err != nil {
			return err
		}
		return c.exchange.EndStream()
	}
	if err := c.sendEvent(caller.End, b.endEvent()); err != nil {
		return err
	}
	return c.exchange.EndStream()
}

func (d *delivery) forget(id request.ID) {
	if b := d.answers[id]; b != nil && len(b.callers) == 0 {
		delete(d.answers, id)
	}
}

// callerGone removes a caller that has disconnected, and tells dispatch if it
// was the last one of its request.
func (d *delivery) callerGone(c *callerState) {
	if c == nil {
		return
	}
	d.callersGone++
	d.removeCaller(c)
	if b := d.answers[c.id]; b != nil && c.isAttached {
		d.checkCallersGone(b)
	}
}

func (d *delivery) checkCallersGone(b *bufferedAnswer) {
	if len(b.callers) == 0 && b.summary == nil {
		// If the dispatch ring is full, the request runs to its end.
		_ = d.dispatch.Offer(allCallersGone{id: b.id})
	}
}

func (d *delivery) removeCaller(c *callerState) {
	delete(d.callers, c.handle)
	delete(d.exchanges, c.exchange)
	if b := d.answers[c.id]; b != nil {
		delete(b.callers, c.handle)
	}
}

func writeReply(x *httpd.Exchange, r *request.ServiceReply) error {
	header := http.Header{}
	for _, f := range r.Header {
		header.Set(f.Name, f.Value)
	}
	return x.Reply(r.Status, header, r.Body)
}
