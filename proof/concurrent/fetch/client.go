package fetch

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
)

const (
	// maxBodyBytes bounds an answer.
	maxBodyBytes = 64 << 20
	// timeout bounds a call.
	timeout = 10 * time.Second
)

// Client makes calls. One thread uses it at a time.
type Client struct {
	http   *httpc.Client
	thread *thread.Thread
}

// Open starts a client.
func Open() (*Client, error) {
	c := &Client{http: httpc.New(httpc.Config{Name: "fetch", Capacity: 16})}
	if err := c.http.Open(); err != nil {
		return nil, err
	}
	c.thread = thread.Start("fetch", c.http.Run)
	return c, nil
}

// Close ends the client.
func (c *Client) Close() error {
	c.http.Close()
	return c.thread.Join()
}

// Get returns the body of an answer with status 200.
func (c *Client) Get(address, path string) ([]byte, error) {
	return c.call(&httpc.Call{Address: address, Method: http.MethodGet, Path: path})
}

// Post sends a JSON body and returns the body of an answer with status 200.
func (c *Client) Post(address, path string, body []byte) ([]byte, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	return c.call(&httpc.Call{Address: address, Method: http.MethodPost, Path: path, Header: header, Body: body})
}

func (c *Client) call(call *httpc.Call) ([]byte, error) {
	outcomes := ring.New[outcome]("outcome", 1)
	call.Timeout = timeout
	collect.Start(c.http, call, maxBodyBytes, func(answer collect.Response, err error) {
		// There is one outcome, and the ring has one slot.
		_ = outcomes.Offer(outcome{answer: answer, err: err})
	})
	o, err := outcomes.Take()
	if err != nil {
		return nil, err
	}
	if o.err != nil {
		return nil, o.err
	}
	if o.answer.Status != http.StatusOK {
		return nil, &StatusError{Address: call.Address, Path: call.Path, Status: o.answer.Status, Body: string(o.answer.Body)}
	}
	return o.answer.Body, nil
}
