package callers

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
)

// caller is one caller. One thread owns it.
type caller struct {
	config   Config
	number   int
	customer Customer
	random   *rand.Rand
	client   *client.Client
	clock    clock.Clock
	stop     *ring.Ring[bool]
	records  []Record
}

func newCaller(config Config, number int) *caller {
	customer := config.Customers[number%len(config.Customers)]
	seed := config.Seed*1_000_003 + uint64(number) + 1
	return &caller{
		config:   config,
		number:   number,
		customer: customer,
		random:   rand.New(rand.NewPCG(seed, seed)),
		client:   newClient(config, customer, number, seed),
		clock:    clock.System{},
		stop:     ring.New[bool]("stop", 1),
	}
}

func newClient(config Config, customer Customer, number int, seed uint64) *client.Client {
	c := client.Config{SeedAddresses: config.Gateways, Credential: customer.Credential, RandomSeed: seed}
	if number/len(config.Customers)%2 == 0 {
		c.MaxTries = config.MaxTries
	}
	return client.New(c)
}

// run submits until the stop ring is closed or all requests are made.
func (c *caller) run() error {
	if err := c.client.Open(); err != nil {
		return err
	}
	for n := 0; c.config.Requests == 0 || n < c.config.Requests; n++ {
		r := c.next(n)
		c.submit(&r)
		c.records = append(c.records, r)
		if _, _, err := c.stop.TakeUntil(c.config.Pause); err != nil {
			break
		}
	}
	return c.client.Close()
}

// next chooses a submission.
func (c *caller) next(n int) Record {
	kind := c.config.Kinds[c.random.IntN(len(c.config.Kinds))]
	key := fmt.Sprintf("%s-%d-%d", c.config.Name, c.number, n)
	if c.isNth(n, c.config.SharedEvery) {
		// All callers of a customer agree on the kind of a shared key.
		kind = c.config.Kinds[n/c.config.SharedEvery%len(c.config.Kinds)]
		key = fmt.Sprintf("%s-shared-%d", c.config.Name, n)
	}
	if kind.IsCall() {
		// The witness of a plain service does not know customers.
		key += "-" + strings.ReplaceAll(c.customer.Name, "/", "-")
	}
	return Record{
		Caller:    c.number,
		Customer:  c.customer.Name,
		Key:       key,
		Kind:      kind,
		Model:     c.config.Model,
		Prompt:    fmt.Sprintf("rebuild the routes of %s for %s", key, c.customer.Name),
		MaxTokens: c.config.MaxTokens,
		Hasty:     !kind.IsCall() && c.isNth(n+1, c.config.HastyEvery),
	}
}

func (c *caller) isNth(n, every int) bool {
	return every > 0 && n%every == 0
}

func (c *caller) submit(r *Record) {
	r.Start = c.clock.Now()
	err := c.send(r)
	r.End = c.clock.Now()
	var refused *client.RefusedError
	switch {
	case err == nil:
		r.Outcome = Completed
	case errors.As(err, &refused):
		r.Outcome = Outcome(refused.Outcome)
		r.Reason = refused.Reason
		r.Detail = refused.Detail
	default:
		r.Outcome = Corrupt
		r.Detail = err.Error()
	}
}

func (c *caller) send(r *Record) error {
	if r.Kind.IsCall() {
		return c.call(r)
	}
	deadline := c.config.Deadline
	if r.Hasty {
		deadline = hastyDeadline
	}
	answer, err := c.client.Submit(client.Request{
		Key:        r.Key,
		Idempotent: r.Kind.IsIdempotent(),
		Model:      r.Model,
		Prompt:     r.Prompt,
		MaxTokens:  r.MaxTokens,
		Deadline:   deadline,
	}, nil)
	r.Text = answer.Text
	r.Attempts = answer.Attempts
	r.RecomputedTokens = answer.RecomputedTokens
	return err
}

func (c *caller) call(r *Record) error {
	call := client.Call{
		Key:        r.Key,
		Idempotent: r.Kind.IsIdempotent(),
		Service:    c.config.Service,
		Method:     http.MethodGet,
		Path:       "/stops",
		Deadline:   c.config.Deadline,
	}
	if r.Kind == Boarding {
		call.Method = http.MethodPost
		call.Path = "/boardings"
		call.Body = []byte(r.Prompt)
	}
	reply, err := c.client.Call(call)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		// The service's own reply does not say in a common way whether it ran.
		return &client.RefusedError{
			Status: reply.Status, Outcome: string(Unknown), Reason: "service", Detail: string(reply.Body),
		}
	}
	r.Text = string(reply.Body)
	return nil
}
