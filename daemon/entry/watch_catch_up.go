package entry

import (
	"net/http"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// Outcomes of asking another gateway for what the store may have lost.
const (
	catchUpTaken    = "taken"
	catchUpAnswered = "answered"
	catchUpUnusable = "unusable"
	catchUpFailed   = "failed"
)

// askGateways asks other gateways for what the store may have lost, if they are to be asked.
func (w *watch) askGateways(now clock.Instant) {
	timeline := w.catchUp.Timeline()
	for _, g := range w.catchUp.Next(now) {
		if err := w.inbox.Reserve(); err != nil {
			w.catchUp.Failed(g.Instance, timeline, false, now)
			continue
		}
		ask := exchange.CatchUpAsk{Config: w.configVersion(), Timeline: timeline}
		w.client.catchUp(g.Address, ask, func(r exchange.CatchUpReply, err error) {
			offerResult(w.inbox, watchMessage{caughtUp: &caughtUp{instance: g.Instance, timeline: timeline, reply: r, err: err}}, w.log)
		})
	}
}

// handleCaughtUp takes over what another gateway has answered.
func (w *watch) handleCaughtUp(m *caughtUp, now clock.Instant) {
	if m.err != nil {
		w.metrics.recordCatchUp(catchUpFailed)
		w.log.Debug().Str("gateway", m.instance).Str("cause", m.err.Error()).Msg("catch_up_failed")
		w.catchUp.Failed(m.instance, m.timeline, cannotAnswer(m.err), now)
		return
	}
	outcome := catchUpAnswered
	if len(m.reply.Value) > 0 {
		if err := w.takeConfig(m); err != nil {
			w.metrics.recordCatchUp(catchUpUnusable)
			w.log.Warn().Str("gateway", m.instance).Str("cause", err.Error()).Msg("config_unusable")
			w.catchUp.Failed(m.instance, m.timeline, false, now)
			return
		}
		outcome = catchUpTaken
	}
	w.metrics.recordCatchUp(outcome)
	if m.timeline == w.catchUp.Timeline() {
		w.hearFormer(m, now)
	}
	w.catchUp.Answered(m.instance, m.timeline, m.reply.Config, now)
}

// hearFormer takes over what another gateway knows of upstreams from before the present
// timeline.
func (w *watch) hearFormer(m *caughtUp, now clock.Instant) {
	f := m.reply.Former
	if !w.roster.Hear(f, now) {
		return
	}
	w.upstreamsChanged = true
	w.log.Info().Str("gateway", m.instance).Int("leaving", len(f.Leaving)).Int("departed", len(f.Departed)).
		Uint64("timeline", m.timeline).Msg("upstreams_heard")
}

// takeConfig takes over the configuration that another gateway has handed over, unless it has
// become known meanwhile.
func (w *watch) takeConfig(m *caughtUp) error {
	next, err := served.DecodeConfig(m.reply.Value)
	if err != nil {
		return err
	}
	if next.Version != m.reply.Config {
		return &exchange.ConfigMismatchError{Told: m.reply.Config, Found: next.Version}
	}
	if next.Version <= w.configVersion() {
		return nil
	}
	w.setConfig(&configCopy{Catalog: next, value: m.reply.Value, timeline: m.reply.Timeline, source: m.instance})
	return nil
}

// cannotAnswer reports whether a gateway will not answer a further ask either: no process
// listens there, or one of a release without that call.
func cannotAnswer(err error) bool {
	var refused *PollRefusedError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &refused) && refused.Status == http.StatusNotFound
}

// answerCatchUp tells another gateway which configuration this one uses, and hands it over if
// it is newer than what the other one has, and what this one knows of upstreams.
func (w *watch) answerCatchUp(x *httpd.Exchange) {
	ask, err := exchange.DecodeCatchUpAsk(x.Body)
	if err != nil {
		w.log.Warn().Str("peer", x.Remote).Str("cause", err.Error()).Msg("catch_up_bad")
		w.reply(x, http.StatusBadRequest, nil)
		return
	}
	isBehind := w.tables[served.UpstreamTable].cursor.Position().Timeline < ask.Timeline
	reply := exchange.CatchUpReply{Former: w.roster.Former(isBehind)}
	if c := w.configInUse(); c != nil {
		reply.Config, reply.Timeline = c.Version, c.timeline
		if c.Version > ask.Config {
			reply.Value = c.value
		}
	}
	body, err := reply.Encode()
	if err != nil {
		w.log.Error().Str("cause", err.Error()).Msg("catch_up_not_encoded")
		w.reply(x, http.StatusInternalServerError, nil)
		return
	}
	w.reply(x, http.StatusOK, body)
}

// reply answers another gateway.
func (w *watch) reply(x *httpd.Exchange, status int, body []byte) {
	if err := x.Reply(status, http.Header{"Content-Type": {cborType}}, body); err != nil {
		w.log.Debug().Str("peer", x.Remote).Str("cause", err.Error()).Msg("peer_gone")
	}
}
