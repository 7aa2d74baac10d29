package engine

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Receiver receives the answer of one attempt. Its methods are called one at a
// time, on threads of the HTTP client, and must not block. The last call is to
// Completed, Replied or Failed; there is exactly one such call.
type Receiver interface {
	// Tokens delivers the next tokens. If it returns false, they are delivered
	// again together with those that follow.
	Tokens(t Tokens) bool
	// Completed reports that the answer is complete. rest holds the tokens that
	// Tokens has not accepted.
	Completed(rest Tokens, usage dispatch.Usage)
	// Replied delivers the reply of a plain service.
	Replied(reply *request.ServiceReply)
	// Failed reports that the answer is incomplete. rest holds the tokens that
	// Tokens has not accepted.
	Failed(rest Tokens, failure dispatch.Failure)
}
