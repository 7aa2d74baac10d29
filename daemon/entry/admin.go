package entry

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// admin takes requests at the internal address: polls of other gateways go to the
// peers duty, everything else to the report duty. It implements httpd.Handler.
type admin struct {
	report httpd.Handler
	peers  *ring.Ring[peerMessage]
	log    zerolog.Logger
}

// Serve implements httpd.Handler.
func (a *admin) Serve(x *httpd.Exchange) {
	if x.Path != pollPath {
		a.report.Serve(x)
		return
	}
	if a.peers.Offer(pollReceived{exchange: x}) == nil {
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
