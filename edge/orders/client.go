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
	// maxAnswerBytes is the maximum size of the state that an engine reports.
	maxAnswerBytes = 1 << 20
)

// Client calls engines. It may be used from any thread. The function done of each
// method is called once: on a thread of the HTTP client, or on the calling thread if
// the call could not be started.
type Client struct {
	http    *httpc.Client
	timeout time.Duration
}

// New returns a client that sends over http. Timeout bounds each call.
func New(http *httpc.Client, timeout time.Duration) *Client {
	return &Client{http: http, timeout: timeout}
}

// State reads the state of the engine at address.
func (c *Client) State(address string, done func(*order.State, error)) {
	c.call(address, http.MethodGet, statePath, nil, func(a collect.Response, err error) {
		done(decodeState(a, err))
	})
}

// Order sends the desired state to the engine at address and reads the state that
// results. It fails with an *order.StaleError if the engine refused the fencing
// number.
func (c *Client) Order(address string, fence uint64, desired order.DesiredState, done func(*order.State, error)) {
	body, err := json.Marshal(orderRequest{Fencing: fence, Desired: desired})
	if err != nil {
		done(nil, &httpc.NotSentError{Address: address, Err: err})
		return
	}
	c.call(address, http.MethodPost, ordersPath, body, func(a collect.Response, err error) {
		if err == nil && a.Status == http.StatusConflict {
			done(nil, &order.StaleError{Fence: fence})
			return
		}
		done(decodeState(a, err))
	})
}

func (c *Client) call(address, method, path string, body []byte, done func(collect.Response, error)) {
	call := &httpc.Call{
		Address: address,
		Method:  method,
		Path:    path,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Body:    body,
		Timeout: c.timeout,
		// A late copy of an older state must not be taken for this one.
		Exclusive: true,
		Sink:      collect.New(maxAnswerBytes, done),
	}
	if err := c.http.Start(call); err != nil {
		done(collect.Response{}, &httpc.NotSentError{Address: address, Err: err})
	}
}

func decodeState(a collect.Response, err error) (*order.State, error) {
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
