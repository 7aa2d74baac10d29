package entry

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

const (
	// cborType is the content type of the messages between gateways.
	cborType = "application/cbor"
	// pollPath is the path at which a gateway answers polls.
	pollPath = "/peers/poll"
	// pollTimeout bounds a poll. A hub answers from memory.
	pollTimeout = 400 * time.Millisecond
	// maxNewsBytes bounds the news of a hub.
	maxNewsBytes = 8 << 20
	// limitPath is the path at which a gateway answers whether a customer's limit admits a
	// request, and maxLimitReplyBytes bounds its reply.
	limitPath          = "/peers/limit"
	maxLimitReplyBytes = 256
	// usePath is the path at which a holder of limits takes the news of another one,
	// useTimeout bounds the call, and maxUseBytes the reply.
	usePath     = "/peers/use"
	useTimeout  = 150 * time.Millisecond
	maxUseBytes = 1 << 20
	// catchUpPath is the path at which a gateway tells what the store may have lost,
	// catchUpTimeout bounds the call, and maxCatchUpBytes the reply: more than a row of the
	// store may hold.
	catchUpPath     = "/peers/catch-up"
	catchUpTimeout  = 400 * time.Millisecond
	maxCatchUpBytes = 2 << 20
)

// peerClient calls other gateways. Its methods may be called by any thread.
type peerClient struct {
	http *httpc.Client
}

// poll sends a poll to a hub. It calls done once, on any thread.
func (c *peerClient) poll(address string, p exchange.Poll, done func(exchange.News, error)) {
	sink := &peerSink[exchange.News]{maxBytes: maxNewsBytes, decode: exchange.DecodeNews, done: done}
	call(c.http, address, pollPath, p, pollTimeout, sink)
}

// askLimit asks a gateway about a customer's limit. It calls done once, on any thread.
func (c *peerClient) askLimit(address string, a exchange.LimitAsk, timeout time.Duration, done func(exchange.LimitReply, error)) {
	sink := &peerSink[exchange.LimitReply]{maxBytes: maxLimitReplyBytes, decode: exchange.DecodeLimitReply, done: done}
	call(c.http, address, limitPath, a, timeout, sink)
}

// tellUse exchanges news with another holder of limits. It calls done once, on any thread.
func (c *peerClient) tellUse(address string, n exchange.HolderNews, done func(exchange.HolderNews, error)) {
	sink := &peerSink[exchange.HolderNews]{maxBytes: maxUseBytes, decode: exchange.DecodeHolderNews, done: done}
	call(c.http, address, usePath, n, useTimeout, sink)
}

// catchUp asks a gateway for what the store may have lost. It calls done once, on any thread.
func (c *peerClient) catchUp(address string, a exchange.CatchUpAsk, done func(exchange.CatchUpReply, error)) {
	sink := &peerSink[exchange.CatchUpReply]{maxBytes: maxCatchUpBytes, decode: exchange.DecodeCatchUpReply, done: done}
	call(c.http, address, catchUpPath, a, catchUpTimeout, sink)
}

// call sends a message to another gateway.
func call[T any](client *httpc.Client, address, path string, message exchange.Message, timeout time.Duration, sink *peerSink[T]) {
	body, err := message.Encode()
	if err != nil {
		sink.Failed(err)
		return
	}
	err = client.Start(&httpc.Call{
		Address: address,
		Method:  http.MethodPost,
		Path:    path,
		Header:  http.Header{"Content-Type": {cborType}},
		Body:    body,
		Timeout: timeout,
		Sink:    sink,
	})
	if err != nil {
		sink.Failed(err)
	}
}
