package entry

import (
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// intake decodes requests on the threads of the HTTP server and offers them to
// dispatch or the directory. It implements httpd.Handler.
type intake struct {
	callerAddress string
	dispatch      *ring.Ring[dispatchMessage]
	directory     *ring.Ring[directoryMessage]
	log           zerolog.Logger
}

// Serve implements httpd.Handler.
func (i *intake) Serve(x *httpd.Exchange) {
	if x.Local != i.callerAddress {
		if i.directory.Offer(directoryMessage{exchange: x}) != nil {
			i.reply(x, caller.Ready(x, false))
		}
		return
	}
	r, err := caller.Decode(x)
	if err != nil {
		i.log.Info().Str("id", r.ID).Str("caller", x.Remote).Str("cause", err.Error()).Msg("request_bad")
		i.reply(x, caller.RefuseBad(x, err))
		return
	}
	if i.dispatch.Offer(arrive{exchange: x, request: r}) != nil {
		i.log.Warn().Str("id", r.ID).Msg("request_dropped_ring_full")
		i.reply(x, caller.Refuse(x, relay.Refusal{Reason: relay.Overloaded, NotRun: true, RetryAfter: fullRetry}))
	}
}

// malformed notes bytes that are no request. The server has refused them.
func (i *intake) malformed(e *httpd.MalformedError) {
	i.log.Info().Str("caller", e.Remote).Str("cause", e.Err.Error()).Int("status", e.Status()).Msg("caller_malformed")
}

// Disconnected implements httpd.Handler. When dispatch has no room for the news, the
// request runs to its end.
func (i *intake) Disconnected(x *httpd.Exchange) {
	if x.Local != i.callerAddress {
		return
	}
	if err := i.dispatch.Offer(callerGone{exchange: x}); err != nil {
		i.log.Warn().Str("caller", x.Remote).Str("cause", err.Error()).Msg("caller_end_missed")
	}
}

// reply logs an answer that could not be written: its caller is gone.
func (i *intake) reply(x *httpd.Exchange, err error) {
	if err != nil {
		i.log.Debug().Str("caller", x.Remote).Str("cause", err.Error()).Msg("caller_gone")
	}
}
