package gateway

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/request"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// fullRetry is when a caller may try again after a ring was full.
const fullRetry = time.Second

// intake decodes requests on the threads of the HTTP server and offers them to
// admission. It implements httpd.Handler.
type intake struct {
	limits    caller.Limits
	admission *ring.Ring[admissionMessage]
	delivery  *ring.Ring[deliveryMessage]
	log       zerolog.Logger
}

// Serve implements httpd.Handler.
func (i *intake) Serve(x *httpd.Exchange) {
	message, err := caller.Decode(x, i.limits)
	if err != nil {
		var refusal *request.Refusal
		if errors.As(err, &refusal) {
			_ = caller.ReplyProblem(x, refusal, nil)
		}
		return
	}
	if err := i.admission.Offer(admissionMessage{ticket: &ticket{exchange: x, message: message}}); err != nil {
		_ = caller.ReplyProblem(x, overloaded(), nil)
	}
}

// malformed notes bytes that are no request. The server has refused them.
func (i *intake) malformed(e *httpd.MalformedError) {
	i.log.Info().Str("caller", e.Remote).Str("cause", e.Err.Error()).Int("status", e.Status()).Msg("caller_malformed")
}

// Disconnected implements httpd.Handler. When delivery has no room for the news, it
// learns of the caller's end at its next write.
func (i *intake) Disconnected(x *httpd.Exchange) {
	_ = i.delivery.Offer(callerGone{exchange: x})
}

func overloaded() *request.Refusal {
	return &request.Refusal{
		Outcome:    request.NotRun,
		Reason:     request.Overloaded,
		Detail:     "this gateway has no room",
		RetryAfter: fullRetry,
	}
}
