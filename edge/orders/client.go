package orders

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
	"github.com/sycamorecourse/sycamorecourse/serving/order"
)

const (
	statePath  = "/v1/state"
	ordersPath = "/v1/orders"
	// maxAnswerBytes bounds the state of an engine.
	maxAnswerBytes = 1 << 20
)

// Client calls engines. Any thread may use it.
type Client struct {
	http    *httpc.Client
	timeout time.Duration
}

// New makes a client that sends over http. Timeout bounds each call.
func New(http *httpc.Client, timeout time.Duration) *Client {
	return &Client{http: http, timeout: timeout}
}

// State reads the state of the engine at an address.
func (c *Client) State(address string, done func(*order.State, error)) {
	c.call(address, http.MethodGet, statePath, nil, func(a collect.Answer, err error) {
		done(decode(a, err))
	})
}

// Order gives an order and reads the state that it led to. It fails with an
// *order.StaleError when the engine refused the fencing number.
func (c *Client) Order(address string, fence uint64, w order.DesiredState, done func(*order.State, error)) {
	text, err := json.Marshal(body{Fencing: fence, Wanted: w})
	if err != nil {
		done(nil, &httpc.NotSentError{Address: address, Err: err})
		return
	}
	c.call(address, http.MethodPost, ordersPath, text, func(a collect.Answer, err error) {
		if err == nil && a.Status == http.StatusConflict {
			done(nil, &order.StaleError{Fence: fence})
			return
		}
		done(decode(a, err))
	})
}

func (c *Client) call(address, method, path string, text []byte, done func(collect.Answer, error)) {
	call := &httpc.Call{
		Address: address,
		Method:  method,
		Path:    path,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Body:    text,
		Timeout: c.timeout,
		Sink:    collect.New(maxAnswerBytes, done),
	}
	if err := c.http.Start(call); err != nil {
		done(collect.Answer{}, &httpc.NotSentError{Address: address, Err: err})
	}
}

func decode(a collect.Answer, err error) (*order.State, error) {
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, &collect.StatusError{Status: a.Status}
	}
	state := &order.State{}
	if err := json.Unmarshal(a.Body, state); err != nil {
		return nil, &collect.MalformedError{Err: err}
	}
	return state, nil
}
