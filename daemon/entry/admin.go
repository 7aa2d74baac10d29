package entry

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// admin takes requests at the internal address: polls of other gateways go to the
// peers duty, their questions about limits to dispatch, those about what the store has lost
// to the watch duty, everything else to the report duty. It implements httpd.Handler.
type admin struct {
	report   httpd.Handler
	peers    *ring.Ring[peerMessage]
	dispatch *ring.Ring[dispatchMessage]
	watch    *ring.Ring[watchMessage]
	log      zerolog.Logger
}

// Serve implements httpd.Handler.
func (a *admin) Serve(x *httpd.Exchange) {
	var err error
	switch x.Path {
	case pollPath:
		err = a.peers.Offer(pollReceived{exchange: x})
	case limitPath:
		err = a.dispatch.Offer(limitAsked{exchange: x})
	case usePath:
		err = a.dispatch.Offer(useTold{exchange: x})
	case catchUpPath:
		err = a.watch.Offer(watchMessage{catchUpAsked: x})
	default:
		a.report.Serve(x)
		return
	}
	if err == nil {
		return
	}
	if err := x.Reply(http.StatusServiceUnavailable, nil, nil); err != nil {
		a.log.Debug().Str("peer", x.Remote).Str("cause", err.Error()).Msg("peer_gone")
	}
}

// Disconnected implements httpd.Handler.
func (a *admin) Disconnected(x *httpd.Exchange) {
	a.report.Disconnected(x)
}
