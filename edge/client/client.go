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

// Client sends requests to the system. It must be used by one thread at a time;
// create one for each thread that sends.
type Client struct {
	config    Config
	http      *httpc.Client
	addresses *addresses
	thread    *thread.Thread
}

// New returns a client. Open must be called before the first request.
func New(config Config) *Client {
	config = config.withDefaults()
	seed := config.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	http := httpc.New(httpc.Config{Name: "client", Capacity: 256})
	return &Client{
		config: config,
		http:   http,
		addresses: &addresses{
			config:  config,
			http:    http,
			random:  rand.New(rand.NewPCG(seed, 1)),
			avoided: make(map[string]bool),
		},
	}
}

// Open starts the client's thread and its HTTP client.
func (c *Client) Open() error {
	if err := c.http.Open(); err != nil {
		return err
	}
	c.thread = thread.Start("client", c.http.Run)
	return nil
}

// Close closes all connections and waits until the client's thread has ended.
func (c *Client) Close() error {
	c.http.Close()
	return c.thread.Join()
}

// Addresses returns the list of gateways, and fetches it first if it has expired.
func (c *Client) Addresses() ([]caller.Address, error) {
	if _, err := c.addresses.pick(); err != nil {
		return nil, err
	}
	return c.addresses.list, nil
}

// Submit sends a request and returns its complete answer. It calls onPiece, unless
// it is nil, once for each piece as it arrives. It fails with a *RefusedError, whose
// outcome says whether the request may have run, or with a *CorruptError.
func (c *Client) Submit(r Request, onPiece func(Piece)) (Answer, error) {
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
	s := &submission{client: c, request: r, body: body, onPiece: onPiece, deadline: time.Now().Add(r.Deadline)}
	return s.run()
}

// Cancel asks a gateway to cancel a request.
func (c *Client) Cancel(key string) error {
	address, err := c.addresses.pick()
	if err != nil {
		return err
	}
	e := c.roundTrip(address, http.MethodDelete, requestPath(key), nil, nil, c.config.AddressTimeout)
	return decodeRefusal(e)
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
		c.waitBeforeRetry(err)
	}
}

// callOnce makes one try. The bool reports whether another gateway may be tried.
func (c *Client) callOnce(call Call, path string, header http.Header) (Reply, bool, error) {
	address, err := c.addresses.pick()
	if err != nil {
		return Reply{}, true, &RefusedError{Outcome: string(request.NotRun), Reason: "unreachable", Detail: err.Error()}
	}
	e := c.roundTrip(address, call.Method, path, header, call.Body, call.Deadline)
	if e.err != nil {
		c.addresses.avoid(address)
		return Reply{}, call.Idempotent || isNotSent(e.err), connectionError(e.err)
	}
	if err := decodeRefusal(e); err != nil {
		return Reply{}, c.mayTryElsewhere(address, e, err), err
	}
	return Reply{Status: e.status, Body: e.body}, false, nil
}

// mayTryElsewhere reports whether a refusal says that the request did not run and
// that another try may succeed. If the gateway is draining, it switches to the
// addresses that came with the refusal.
func (c *Client) mayTryElsewhere(address string, e responsePart, err error) bool {
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Outcome != string(request.NotRun) {
		return false
	}
	if refused.Reason == string(request.Draining) {
		c.addresses.avoid(address)
		var problem caller.Problem
		// decodeRefusal has already decoded this body without an error.
		_ = json.Unmarshal(e.body, &problem)
		c.addresses.replace(problem.Addresses)
		return true
	}
	return refused.RetryAfter > 0
}

// roundTrip makes a call whose response is not a stream, and waits for it.
func (c *Client) roundTrip(address, method, path string, header http.Header, body []byte, timeout time.Duration) responsePart {
	s := newSink()
	call := &httpc.Call{
		Address: address, Method: method, Path: path, Header: c.authorized(header), Body: body, Timeout: timeout, Sink: s,
	}
	if err := c.http.Start(call); err != nil {
		return responsePart{isLast: true, err: &httpc.NotSentError{Address: address, Err: err}}
	}
	for {
		e, err := s.parts.Take()
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

// waitBeforeRetry waits for MinRetryDelay, or longer if a refusal asks for it, but
// then at most 1 s.
func (c *Client) waitBeforeRetry(err error) {
	wait := c.config.MinRetryDelay
	var refused *RefusedError
	if errors.As(err, &refused) {
		wait = max(wait, min(refused.RetryAfter, time.Second))
	}
	// Taking from an empty ring blocks this thread until the timeout.
	_, _, _ = ring.New[bool]("pause", 1).TakeUntil(wait)
}

func requestPath(key string) string {
	return caller.RequestsPath + "/" + url.PathEscape(key)
}

// decodeRefusal returns the error of a failed call or of a refusal, and nil for any
// other response.
func decodeRefusal(e responsePart) error {
	if e.err != nil {
		return connectionError(e.err)
	}
	if e.status < http.StatusBadRequest {
		return nil
	}
	var p caller.Problem
	if err := json.Unmarshal(bytes.TrimSpace(e.body), &p); err != nil || p.Outcome == "" {
		// The response of a plain service, passed on by the gateway.
		return nil
	}
	return newRefusedError(p)
}

func newRefusedError(p caller.Problem) *RefusedError {
	return &RefusedError{
		Status:     p.Status,
		Outcome:    p.Outcome,
		Reason:     p.Title,
		Detail:     p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

func connectionError(err error) *RefusedError {
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

func asRefusedError(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return connectionError(err)
}
