package collect

import "github.com/sycamorecourse/sycamorecourse/edge/httpc"

// Start starts a call and passes its complete response to done. If the call can't
// be started, done gets a *httpc.NotSentError before Start returns.
func Start(client *httpc.Client, call *httpc.Call, limitBytes int, done func(Response, error)) {
	call.Sink = New(limitBytes, done)
	if err := client.Start(call); err != nil {
		done(Response{}, &httpc.NotSentError{Address: call.Address, Err: err})
	}
}
