package collect

import "github.com/sycamorecourse/sycamorecourse/edge/httpc"

// Start begins a call whose answer is gathered for done. When the call can't
// be started, done gets a *httpc.NotSentError before Start returns.
func Start(client *httpc.Client, call *httpc.Call, limitBytes int, done func(Answer, error)) {
	call.Sink = New(limitBytes, done)
	if err := client.Start(call); err != nil {
		done(Answer{}, &httpc.NotSentError{Address: call.Address, Err: err})
	}
}
