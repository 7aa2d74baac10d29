package entry

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

const (
	// pollPath is the path at which a gateway answers polls.
	pollPath = "/peers/poll"
	// pollTimeout bounds a poll. A hub answers from memory.
	pollTimeout = 400 * time.Millisecond
	// maxNewsBytes bounds the news of a hub.
	maxNewsBytes = 8 << 20
)

// peerClient polls other gateways. Its methods may be called by any thread.
type peerClient struct {
	http *httpc.Client
}

// poll sends a poll to a hub. It calls done once, on any thread.
func (c *peerClient) poll(address string, p exchange.Poll, done func(exchange.News, error)) {
	body, err := p.Encode()
	if err != nil {
		done(exchange.News{}, err)
		return
	}
	sink := &newsSink{done: done}
	call := &httpc.Call{
		Address: address,
		Method:  http.MethodPost,
		Path:    pollPath,
		Header:  http.Header{"Content-Type": {"application/cbor"}},
		Body:    body,
		Timeout: pollTimeout,
		Sink:    sink,
	}
	if err := c.http.Start(call); err != nil {
		sink.Failed(err)
	}
}
