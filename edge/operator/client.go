package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// maxConfirmAttempts is how many times Confirm goes through all addresses while the
// outcome is unknown.
const maxConfirmAttempts = 3

// Client calls the controllers. Each call tries the addresses in order until one
// answers. A Client must be used by one thread at a time.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *httpc.Client
	thread    *thread.Thread
}

// Open returns a client and starts its thread. Timeout bounds each call; for a
// confirmation its wait is added.
func Open(addresses []string, timeout time.Duration) (*Client, error) {
	c := &Client{addresses: addresses, timeout: timeout, http: httpc.New(httpc.Config{Name: "operators-http", Capacity: 16})}
	if err := c.http.Open(); err != nil {
		return nil, &UnreachableError{Addresses: addresses, Err: err}
	}
	c.thread = thread.Start("operators-http", c.http.Run)
	return c, nil
}

// Close closes all connections and waits until the client's thread has ended.
func (c *Client) Close() error {
	c.http.Close()
	return c.thread.Join()
}

// Plan makes a plan for an intent. Nothing changes until the plan is confirmed.
func (c *Client) Plan(d *intent.Document) (*plan.Plan, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, &Problem{Code: BadRequest, Detail: err.Error()}
	}
	p := &plan.Plan{}
	return p, c.call(http.MethodPost, PlansPath, body, 0, p)
}

// Confirm confirms a plan and waits until all live processes have its version, at
// most for wait. A confirmation is idempotent, so it is retried if its outcome is
// unknown.
func (c *Client) Confirm(id, operator string, wait time.Duration) (*ConfirmResult, error) {
	// The body holds only text and a number, which always encode.
	body, _ := json.Marshal(ConfirmBody{Operator: operator, WaitMillis: wait.Milliseconds()})
	var err error
	for range maxConfirmAttempts {
		answer := &ConfirmResult{}
		err = c.call(http.MethodPost, PlansPath+"/"+id+confirmSuffix, body, wait, answer)
		if err == nil {
			return answer, nil
		}
		var p *Problem
		if !errors.As(err, &p) || p.Code != OutcomeUnknown {
			break
		}
	}
	return nil, err
}

// PlanRecord returns the record of one plan.
func (c *Client) PlanRecord(id string) (*plan.Record, error) {
	r := &plan.Record{}
	return r, c.call(http.MethodGet, PlansPath+"/"+id, nil, 0, r)
}

// Plans returns the history of plans.
func (c *Client) Plans() (*History, error) {
	h := &History{}
	return h, c.call(http.MethodGet, PlansPath, nil, 0, h)
}

// Intent returns the configuration in force.
func (c *Client) Intent() (*plan.Head, error) {
	h := &plan.Head{}
	return h, c.call(http.MethodGet, IntentPath, nil, 0, h)
}

// Status returns the status of the processes, the fleet and the control duties.
func (c *Client) Status() (*Status, error) {
	s := &Status{}
	return s, c.call(http.MethodGet, StatusPath, nil, 0, s)
}

// call tries the addresses in order and decodes the first answer into out. It goes
// on to the next address after a connection error or a retryable Problem.
func (c *Client) call(method, path string, body []byte, wait time.Duration, out any) error {
	last := error(&UnreachableError{Addresses: c.addresses, Err: &NoAddressError{}})
	for _, address := range c.addresses {
		r := c.callAddress(address, method, path, body, wait)
		if r.err != nil {
			last = &UnreachableError{Addresses: c.addresses, Err: r.err}
			continue
		}
		err := decodeReply(r, out)
		if err == nil || !isRetryable(err) {
			return err
		}
		last = err
	}
	return last
}

func (c *Client) callAddress(address, method, path string, body []byte, wait time.Duration) reply {
	done := ring.New[reply]("reply", 1)
	call := &httpc.Call{
		Address: address,
		Method:  method,
		Path:    path,
		Header:  jsonHeader(),
		Body:    body,
		Timeout: c.timeout + wait,
		Sink:    &collector{done: done},
	}
	if err := c.http.Start(call); err != nil {
		return reply{err: err}
	}
	r, err := done.Take()
	if err != nil {
		return reply{err: err}
	}
	return r
}

func decodeReply(r reply, out any) error {
	if r.status >= http.StatusOK && r.status < http.StatusMultipleChoices {
		if err := json.Unmarshal(r.body, out); err != nil {
			return &Problem{Status: r.status, Code: Internal, Detail: "can't decode the response: " + err.Error()}
		}
		return nil
	}
	p := &Problem{}
	if err := json.Unmarshal(r.body, p); err != nil {
		p = &Problem{Code: Internal, Detail: "can't decode the response: " + err.Error()}
	}
	p.Status = r.status
	return p
}

func isRetryable(err error) bool {
	var p *Problem
	return errors.As(err, &p) && p.IsRetryable()
}
