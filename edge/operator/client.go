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

// confirmTries is how often a confirmation with an unknown outcome is asked for
// again at all addresses.
const confirmTries = 3

// Client calls the controllers, one address after another until one answers.
// It is used by one thread.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *httpc.Client
	duty      *thread.Thread
}

// Open makes a client. Timeout bounds each call, without the wait of a
// confirmation.
func Open(addresses []string, timeout time.Duration) (*Client, error) {
	c := &Client{addresses: addresses, timeout: timeout, http: httpc.New(httpc.Config{Name: "operators-http", Capacity: 16})}
	if err := c.http.Open(); err != nil {
		return nil, &UnreachableError{Addresses: addresses, Err: err}
	}
	c.duty = thread.Start("operators-http", c.http.Run)
	return c, nil
}

// Close ends all connections.
func (c *Client) Close() error {
	c.http.Close()
	return c.duty.Join()
}

// Plan asks for the plan of an intent.
func (c *Client) Plan(d *intent.Document) (*plan.Plan, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, &Problem{Code: BadRequest, Detail: err.Error()}
	}
	p := &plan.Plan{}
	return p, c.call(http.MethodPost, PlansPath, body, 0, p)
}

// Confirm confirms a plan and waits for all processes. Confirming twice is the
// same as once, so a lost answer is asked for again.
func (c *Client) Confirm(id, operator string, wait time.Duration) (*Confirmed, error) {
	// The body holds only text and a number, which always encode.
	body, _ := json.Marshal(ConfirmBody{Operator: operator, WaitMillis: wait.Milliseconds()})
	var err error
	for range confirmTries {
		answer := &Confirmed{}
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

// Show asks for one plan.
func (c *Client) Show(id string) (*plan.Record, error) {
	r := &plan.Record{}
	return r, c.call(http.MethodGet, PlansPath+"/"+id, nil, 0, r)
}

// Plans asks for the history of plans.
func (c *Client) Plans() (*History, error) {
	h := &History{}
	return h, c.call(http.MethodGet, PlansPath, nil, 0, h)
}

// Intent asks for the configuration in force.
func (c *Client) Intent() (*plan.Head, error) {
	h := &plan.Head{}
	return h, c.call(http.MethodGet, IntentPath, nil, 0, h)
}

// Status asks for processes, fleet and duties.
func (c *Client) Status() (*Status, error) {
	s := &Status{}
	return s, c.call(http.MethodGet, StatusPath, nil, 0, s)
}

// call tries the addresses in turn. An answer other than "unavailable" or
// "outcome unknown" ends the search.
func (c *Client) call(method, path string, body []byte, wait time.Duration, out any) error {
	last := error(&UnreachableError{Addresses: c.addresses, Err: &NoAddressError{}})
	for _, address := range c.addresses {
		r := c.ask(address, method, path, body, wait)
		if r.err != nil {
			last = &UnreachableError{Addresses: c.addresses, Err: r.err}
			continue
		}
		err := decodeReply(r, out)
		if err == nil || !isWorthAnother(err) {
			return err
		}
		last = err
	}
	return last
}

func (c *Client) ask(address, method, path string, body []byte, wait time.Duration) reply {
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
			return &Problem{Status: r.status, Code: Internal, Detail: "answer not understood: " + err.Error()}
		}
		return nil
	}
	p := &Problem{}
	if err := json.Unmarshal(r.body, p); err != nil {
		p = &Problem{Code: Internal, Detail: "answer not understood: " + err.Error()}
	}
	p.Status = r.status
	return p
}

func isWorthAnother(err error) bool {
	var p *Problem
	return errors.As(err, &p) && p.IsUnavailable()
}
