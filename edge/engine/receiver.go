package engine

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Receiver takes the answer of one attempt. Its methods are called one after
// another, on threads that must not be held up; one of Completed, Replied and
// Failed comes last.
type Receiver interface {
	// Tokens gives tokens. When it returns false they come again, together
	// with those that follow.
	Tokens(t Tokens) bool
	// Completed gives the last tokens and says that the answer is whole.
	Completed(rest Tokens, usage dispatch.Usage)
	// Replied gives the reply of a plain service.
	Replied(reply *request.ServiceReply)
	// Failed gives the last tokens and says that the answer is not whole.
	Failed(rest Tokens, failure dispatch.Failure)
}
