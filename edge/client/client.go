package client

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Client sends requests to the system. It is used by one thread at a time; make
// one for each thread that sends.
type Client struct {
	config    Config
	http      *httpc.Client
	addresses *addresses
	thread    *thread.Thread
}

// New makes a client; Open starts it.
func New(config Config) *Client {
	config = config.withDefaults()
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	http := httpc.New(httpc.Config{Name: "client", Capacity: 256})
	return &Client{
		config: config,
		http:   http,
		addresses: &addresses{
			config: config,
			http:   http,
			random: rand.New(rand.NewPCG(seed, 1)),
			bad:    make(map[string]bool),
		},
	}
}

// Open starts the client's connections.
func (c *Client) Open() error {
	if err := c.http.Open(); err != nil {
		return err
	}
	c.thread = thread.Start("client", c.http.Run)
	return nil
}

// Close ends the client's connections.
func (c *Client) Close() error {
	c.http.Close()
	return c.thread.Join()
}

// Addresses returns the gateways in use.
func (c *Client) Addresses() ([]caller.Address, error) {
	if _, err := c.addresses.pick(); err != nil {
		return nil, err
	}
	return c.addresses.list, nil
}

// Submit sends a request and returns its whole answer; take gets each piece as
// it comes, once, and may be nil. It fails with a *RefusedError, whose outcome
// says whether the request may have run, or with a *CorruptError.
func (c *Client) Submit(r Request, take func(Piece)) (Answer, error) {
	streamed := true
	body, err := json.Marshal(caller.SubmitBody{
		Key:        r.Key,
		Idempotent: r.Idempotent,
		Model:      r.Model,
		Adapter:    r.Adapter,
		Prompt:     r.Prompt,
		MaxTokens:  r.MaxTokens,
		DeadlineMS: r.Deadline.Milliseconds(),
		Priority:   r.Priority,
		Stream:     &streamed,
	})
	if err != nil {
		return Answer{}, &CorruptError{Detail: err.Error()}
	}
	s := &submission{client: c, request: r, body: body, take: take, limit: time.Now().Add(r.Deadline)}
	return s.run()
}

// Cancel gives a request up at the gateway that has it.
func (c *Client) Cancel(key string) error {
	address, err := c.addresses.pick()
	if err != nil {
		return err
	}
	e := c.whole(address, http.MethodDelete, requestPath(key), nil, nil, c.config.AddressTimeout)
	return refusedBy(e)
}

// Call sends a call of a plain service. It fails with a *RefusedError.
func (c *Client) Call(call Call) (Reply, error) {
	header := http.Header{}
	for name, values := range call.Header {
		header[name] = values
	}
	if call.Key != "" {
		header.Set(caller.KeyHeader, call.Key)
	}
	if call.Deadline > 0 {
		header.Set(caller.DeadlineHeader, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	path := caller.ServicesPath + url.PathEscape(call.Service) + call.Path
	for try := 1; ; try++ {
		reply, again, err := c.callOnce(call, path, header)
		if err == nil || !again || try >= c.config.MaxTries {
			return reply, err
		}
		c.pause(err)
	}
}

// callOnce says whether another gateway may be tried.
func (c *Client) callOnce(call Call, path string, header http.Header) (Reply, bool, error) {
	address, err := c.addresses.pick()
	if err != nil {
		return Reply{}, true, &RefusedError{Outcome: string(request.NotRun), Reason: "unreachable", Detail: err.Error()}
	}
	e := c.whole(address, call.Method, path, header, call.Body, call.Deadline)
	if e.err != nil {
		c.addresses.avoid(address)
		return Reply{}, call.Idempotent || isNotSent(e.err), broken(e.err)
	}
	if err := refusedBy(e); err != nil {
		return Reply{}, c.mayTryElsewhere(address, e, err), err
	}
	return Reply{Status: e.status, Body: e.body}, false, nil
}

// mayTryElsewhere reports whether a refusal says that nothing ran and that
// another try may help.
func (c *Client) mayTryElsewhere(address string, e event, err error) bool {
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Outcome != string(request.NotRun) {
		return false
	}
	if refused.Reason == string(request.Draining) {
		c.addresses.avoid(address)
		var problem caller.Problem
		// The refusal decoded as a problem before.
		_ = json.Unmarshal(e.body, &problem)
		c.addresses.replace(problem.Addresses)
		return true
	}
	return refused.RetryAfter > 0
}

// whole makes a call whose answer is not a stream.
func (c *Client) whole(address, method, path string, header http.Header, body []byte, timeout time.Duration) event {
	s := newSink()
	call := &httpc.Call{
		Address: address, Method: method, Path: path, Header: c.authorized(header), Body: body, Timeout: timeout, Sink: s,
	}
	if err := c.http.Start(call); err != nil {
		return event{isLast: true, err: &httpc.NotSentError{Address: address, Err: err}}
	}
	for {
		e, err := s.events.Take()
		if err != nil || e.isLast {
			return e
		}
	}
}

func (c *Client) authorized(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	out.Set("Authorization", "Bearer "+c.config.Credential)
	return out
}

// pause waits before the next try, for as long as a refusal asks.
func (c *Client) pause(err error) {
	wait := c.config.Pause
	var refused *RefusedError
	if errors.As(err, &refused) {
		wait = max(wait, min(refused.RetryAfter, time.Second))
	}
	// An empty ring parks this thread for the given time.
	_, _, _ = ring.New[bool]("pause", 1).TakeUntil(wait)
}

func requestPath(key string) string {
	return caller.RequestsPath + "/" + url.PathEscape(key)
}

// refusedBy reads a refusal, nil for an answer that is none.
func refusedBy(e event) error {
	if e.err != nil {
		return broken(e.err)
	}
	if e.status < http.StatusBadRequest {
		return nil
	}
	var p caller.Problem
	if err := json.Unmarshal(bytes.TrimSpace(e.body), &p); err != nil || p.Outcome == "" {
		// A plain service's own answer.
		return nil
	}
	return refusedFrom(p)
}

func refusedFrom(p caller.Problem) *RefusedError {
	return &RefusedError{
		Status:     p.Status,
		Outcome:    p.Outcome,
		Reason:     p.Title,
		Detail:     p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

func broken(err error) *RefusedError {
	outcome := request.OutcomeUnknown
	if isNotSent(err) {
		outcome = request.NotRun
	}
	return &RefusedError{Outcome: string(outcome), Reason: "connection", Detail: err.Error()}
}

func isNotSent(err error) bool {
	var notSent *httpc.NotSentError
	return errors.As(err, &notSent)
}

func refusedFromError(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return broken(err)
}
