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

// defaultRetryAfter is how long a caller that was refused for a passing
// reason, such as a full ring, should wait before it tries again.
const defaultRetryAfter = time.Second

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
	if err := i.admission.Offer(admissionMessage{request: &decodedRequest{exchange: x, message: message}}); err != nil {
		_ = caller.ReplyProblem(x, overloaded(), nil)
	}
}

// malformed logs bytes that are not a valid HTTP request. The server has
// already refused them.
func (i *intake) malformed(e *httpd.MalformedError) {
	i.log.Info().Str("caller", e.Remote).Str("cause", e.Err.Error()).Int("status", e.Status()).Msg("caller_malformed")
}

// Disconnected implements httpd.Handler. If the delivery ring is full, delivery
// notices the lost connection at its next write.
func (i *intake) Disconnected(x *httpd.Exchange) {
	_ = i.delivery.Offer(callerGone{exchange: x})
}

func overloaded() *request.Refusal {
	return &request.Refusal{
		Outcome:    request.NotRun,
		Reason:     request.Overloaded,
		Detail:     "this gateway has no room",
		RetryAfter: defaultRetryAfter,
	}
}
