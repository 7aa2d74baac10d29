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

// delivery is the duty that writes to callers and keeps what they may ask for
// again.
type delivery struct {
	inbox     *ring.Ring[deliveryMessage]
	dispatch  *ring.Ring[dispatchMessage]
	address   string
	log       zerolog.Logger
	callers   map[dispatch.CallerHandle]*attached
	exchanges map[*httpd.Exchange]*attached
	answers   map[request.ID]*kept
	gateways  []NamedAddress
	gone      uint64
}

func newDelivery(log zerolog.Logger, dispatches *ring.Ring[dispatchMessage], inbox *ring.Ring[deliveryMessage]) *delivery {
	return &delivery{
		inbox:     inbox,
		dispatch:  dispatches,
		log:       log,
		callers:   make(map[dispatch.CallerHandle]*attached),
		exchanges: make(map[*httpd.Exchange]*attached),
		answers:   make(map[request.ID]*kept),
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
	case openCaller:
		d.open(m)
	case acceptCaller:
		d.accept(m)
	case attachCaller:
		d.attach(m)
	case refuseCaller:
		d.refuse(m)
	case confirmCancel:
		d.confirm(m)
	case deliverPieces:
		d.deliver(m)
	case finishAnswer:
		d.finish(m)
	case forgetAnswer:
		d.forget(m.id)
	case adoptAnswer:
		d.adopt(m)
	case recallAnswer:
		d.recall(m)
	case moveAnswer:
		d.move(m)
	case callerGone:
		d.lose(d.exchanges[m.exchange])
	case setAddresses:
		d.gateways = m.gateways
	case dumpDelivery:
		_ = m.reply.Offer(report.Section{Name: "delivery", State: d.dump()})
	}
}

func (d *delivery) dump() deliveryDump {
	state := deliveryDump{Callers: len(d.callers), Answers: len(d.answers), Gone: d.gone}
	for _, k := range d.answers {
		state.AnswerBytes += k.log.Bytes()
	}
	return state
}

func (d *delivery) open(m openCaller) {
	a := &attached{handle: m.handle, exchange: m.exchange, id: m.id, streamed: m.streamed}
	d.callers[m.handle] = a
	d.exchanges[m.exchange] = a
}

func (d *delivery) accept(m acceptCaller) {
	k := d.answers[m.id]
	if k == nil || k.summary != nil {
		k = &kept{id: m.id, callers: make(map[dispatch.CallerHandle]*attached)}
		d.answers[m.id] = k
	}
	a := d.callers[m.handle]
	if a == nil {
		d.checkDetached(k)
		return
	}
	d.join(a, k)
}

func (d *delivery) attach(m attachCaller) {
	a := d.callers[m.handle]
	if a == nil {
		return
	}
	k := d.answers[m.id]
	if k == nil {
		d.drop(a)
		a.exchange.Abort()
		return
	}
	a.next = m.from
	d.join(a, k)
	if k.summary != nil {
		d.end(a, k)
	}
}

// join gives a caller what there is of an answer, and what will come.
func (d *delivery) join(a *attached, k *kept) {
	a.isAttached = true
	k.callers[a.handle] = a
	if err := a.begin(d.address); err != nil {
		d.lose(a)
		return
	}
	if err := a.pieces(k); err != nil {
		d.lose(a)
	}
}

func (d *delivery) refuse(m refuseCaller) {
	a := d.callers[m.handle]
	if a == nil {
		return
	}
	d.drop(a)
	// A caller that is gone needs no answer.
	_ = caller.ReplyProblem(a.exchange, m.refusal, d.others(m.refusal))
}

func (d *delivery) confirm(m confirmCancel) {
	a := d.callers[m.handle]
	if a == nil {
		return
	}
	d.drop(a)
	_ = a.exchange.Reply(http.StatusNoContent, nil, nil)
}

func (d *delivery) deliver(m deliverPieces) {
	k := d.answers[m.id]
	if k == nil {
		return
	}
	d.add(k, m.pieces)
	for _, a := range k.callers {
		if err := a.pieces(k); err != nil {
			d.lose(a)
		}
	}
}

func (d *delivery) add(k *kept, pieces []request.Piece) {
	if err := k.add(pieces); err != nil {
		d.log.Error().Str("key", k.id.Key).Str("cause", err.Error()).Msg("answer_has_gap")
	}
}

func (d *delivery) finish(m finishAnswer) {
	k := d.answers[m.id]
	if k == nil {
		return
	}
	d.add(k, m.pieces)
	k.summary = &m.summary
	for _, a := range k.callers {
		d.end(a, k)
	}
}

// end gives a caller the rest of an answer and its end.
func (d *delivery) end(a *attached, k *kept) {
	d.drop(a)
	// A caller that is gone needs no answer.
	switch {
	case k.summary.Reply != nil:
		_ = reply(a.exchange, k.summary.Reply)
	case a.streamed:
		_ = d.endStream(a, k)
	case k.summary.Refusal != nil:
		_ = caller.ReplyProblem(a.exchange, k.summary.Refusal, d.others(k.summary.Refusal))
	default:
		_ = caller.ReplyJSON(a.exchange, http.StatusOK, caller.WholeAnswer{EndEvent: k.end(), Text: k.log.Text()})
	}
}

func (d *delivery) endStream(a *attached, k *kept) error {
	if err := a.pieces(k); err != nil {
		return err
	}
	if r := k.summary.Refusal; r != nil {
		if err := a.event(caller.Failed, caller.NewProblem(r, d.others(r))); err != nil {
			return err
		}
		return a.exchange.EndStream()
	}
	if err := a.event(caller.End, k.end()); err != nil {
		return err
	}
	return a.exchange.EndStream()
}

func (d *delivery) forget(id request.ID) {
	if k := d.answers[id]; k != nil && len(k.callers) == 0 {
		delete(d.answers, id)
	}
}

// lose drops a caller that is gone, and tells dispatch when it was the last of
// its request.
func (d *delivery) lose(a *attached) {
	if a == nil {
		return
	}
	d.gone++
	d.drop(a)
	if k := d.answers[a.id]; k != nil && a.isAttached {
		d.checkDetached(k)
	}
}

func (d *delivery) checkDetached(k *kept) {
	if len(k.callers) == 0 && k.summary == nil {
		// When dispatch has no room, the request goes on to its end.
		_ = d.dispatch.Offer(detached{id: k.id})
	}
}

func (d *delivery) drop(a *attached) {
	delete(d.callers, a.handle)
	delete(d.exchanges, a.exchange)
	if k := d.answers[a.id]; k != nil {
		delete(k.callers, a.handle)
	}
}

func reply(x *httpd.Exchange, r *request.ServiceReply) error {
	header := http.Header{}
	for _, f := range r.Header {
		header.Set(f.Name, f.Value)
	}
	return x.Reply(r.Status, header, r.Body)
}
