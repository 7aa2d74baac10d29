package world

import (
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

const (
	// Host is what requests name.
	Host = "h.example"
	// Credential is the key of the customer Customer.
	Credential = "soak-secret"
	// Customer is the only customer.
	Customer = "acme"
	// Events is the number of events of a stream.
	Events = 6
	// FirstVersion is the version of the software of upstreams.
	FirstVersion = "v1"
	// CallService is the service that answers without a stream.
	CallService = "app"
	// routeTimeout is the usual timeout of routes.
	routeTimeout = 2 * time.Second
	// eventPause is the time between two of them, or before another answer.
	eventPause = 15 * time.Millisecond
	// readyPatience is the timeout for all gateways to become ready.
	readyPatience = 20 * time.Second
	// readyPause is the time between two questions.
	readyPause = 50 * time.Millisecond
)

// World is a running system. One thread uses it.
type World struct {
	// Store is the platform's store.
	Store *rowstore.Store
	// Cloud takes the calls of singleton duties.
	Cloud *duties.API
	// Gateways are the processes under test.
	Gateways []*Gateway
	// Upstreams are those that there are now.
	Upstreams []*Upstream

	config  Config
	former  []*Upstream
	threads []*thread.Thread
	version int
	started int
	// credentials are those of the customer in the next configuration.
	credentials []string
	strays      atomic.Int64
}

// Open starts the stand-ins and the gateways, and waits until all are ready.
func Open(config Config) (*World, error) {
	config = config.withDefaults()
	w := &World{config: config, credentials: []string{Credential}, Store: rowstore.New("127.0.0.1:0"), Cloud: duties.New("127.0.0.1:0")}
	if err := w.Store.Open(); err != nil {
		return nil, err
	}
	if config.TellsEra {
		w.Store.SetEra(0)
	}
	w.threads = append(w.threads, thread.Start("store", w.Store.Run))
	if err := w.Cloud.Open(); err != nil {
		return nil, err
	}
	w.threads = append(w.threads, thread.Start("cloud", w.Cloud.Run))
	for range config.Upstreams {
		for _, service := range []string{"llm", "app"} {
			if _, err := w.AddUpstream(service); err != nil {
				return nil, err
			}
		}
	}
	if err := w.Configure(); err != nil {
		return nil, err
	}
	for i := range config.Gateways {
		if err := w.addGateway(i); err != nil {
			return nil, err
		}
	}
	return w, w.AwaitReady()
}

func (w *World) addGateway(number int) error {
	g := newGateway(w.config, number, &w.strays)
	w.Gateways = append(w.Gateways, g)
	var err error
	if g.Store, err = relay.Start(w.Store.Address()); err != nil {
		return err
	}
	if g.Callers, err = relay.Start(g.CallerAddress()); err != nil {
		return err
	}
	if err := g.writeSettings(w.Cloud.Address()); err != nil {
		return err
	}
	return g.Start()
}

// AwaitReady waits until all gateways are ready.
func (w *World) AwaitReady() error {
	until := time.Now().Add(readyPatience)
	for _, g := range w.Gateways {
		for !g.IsReady() {
			if time.Now().After(until) {
				return &NotReadyError{Gateway: g.Name}
			}
			Pause(readyPause)
		}
	}
	return nil
}

// Pause parks the calling thread.
func Pause(d time.Duration) {
	// Nothing is offered.
	_, _, _ = ring.New[bool]("pause", 1).TakeUntil(d)
}

// AddUpstream starts an upstream and registers it.
func (w *World) AddUpstream(service string) (*Upstream, error) {
	return w.AddVersion(service, FirstVersion, 0)
}

// AddVersion starts an upstream with a version of its software, and registers it. If
// failStatus is not 0, all its responses have that status.
func (w *World) AddVersion(service, version string, failStatus int) (*Upstream, error) {
	w.started++
	id := fmt.Sprintf("%s-%d", service, w.started)
	u := &Upstream{ID: id, firstID: id, Service: service, Version: version}
	if w.config.TellsStart {
		u.StartedAtMillis = time.Now().UnixMilli()
	}
	config := replica.Config{ID: u.ID, Address: "127.0.0.1:0", Delay: w.config.EventPause, FailStatus: failStatus}
	if service == "llm" {
		config.Events = Events
	}
	u.Replica = replica.New(config)
	if err := u.Replica.Open(); err != nil {
		return nil, err
	}
	u.thread = thread.Start("upstream", u.Replica.Run)
	var err error
	if u.Relay, err = relay.Start(u.Replica.Address()); err != nil {
		return nil, err
	}
	w.Upstreams = append(w.Upstreams, u)
	return u, w.Register(u, operator.Ready)
}

// Register writes the entry of an upstream.
func (w *World) Register(u *Upstream, state operator.UpstreamState) error {
	entry := operator.Upstream{
		ID: u.ID, Service: u.Service, Address: u.Relay.Address(), FailureDomain: "z", Slots: 8, State: state, Version: u.Version, Sequence: 1,
		StartedAtMillis: u.StartedAtMillis,
	}
	return w.write(entry.Write)
}

// write writes to the store on its thread and waits for the result.
func (w *World) write(do func(*rowstore.Store) error) error {
	var failed error
	if err := Posted(w.Store, func() { failed = do(w.Store) }); err != nil {
		return err
	}
	return failed
}

// Remove removes the entry of an upstream, which serves on.
func (w *World) Remove(u *Upstream) error {
	w.Forget(u)
	return w.RemoveEntry(u.ID)
}

// Forget counts an upstream as removed. Its entry stays, and it serves on.
func (w *World) Forget(u *Upstream) {
	for i, other := range w.Upstreams {
		if other == u {
			w.Upstreams = append(w.Upstreams[:i], w.Upstreams[i+1:]...)
			w.former = append(w.former, u)
			break
		}
	}
}

// Restart starts an upstream anew under another ID at the same address, and registers it.
// The entry of its former ID, which is returned, stays until RemoveEntry.
func (w *World) Restart(u *Upstream) (former string, err error) {
	former = u.ID
	u.restarts++
	u.ID = fmt.Sprintf("%s.%d", u.firstID, u.restarts)
	change := func(c *replica.Config) { c.ID = u.ID }
	if err := Posted(u.Replica, func() { u.Replica.UpdateConfig(change) }); err != nil {
		return "", err
	}
	return former, w.Register(u, operator.Ready)
}

// RemoveEntry removes the entry of a former ID of an upstream.
func (w *World) RemoveEntry(id string) error {
	return Posted(w.Store, func() { operator.RemoveUpstream(w.Store, id) })
}

// IsPresent reports whether an upstream has not been removed.
func (w *World) IsPresent(u *Upstream) bool { return slices.Contains(w.Upstreams, u) }

// Order writes the order of a roll-out.
func (w *World) Order(r operator.Rollout) error { return w.write(r.Write) }

// RolloutState returns the state that the system has written for the roll-out of a
// service.
func (w *World) RolloutState(service string) (string, error) {
	var state string
	var failed error
	if err := Posted(w.Store, func() { state, failed = operator.RolloutState(w.Store, service) }); err != nil {
		return "", err
	}
	return state, failed
}

// SetCredentials sets the keys of the customer from the next configuration on.
func (w *World) SetCredentials(list ...string) { w.credentials = list }

// RestartAll kills all gateways at the same moment and starts them again.
func (w *World) RestartAll() error {
	for _, g := range w.Gateways {
		g.Signal(syscall.SIGKILL)
	}
	for _, g := range w.Gateways {
		if err := g.End(); err != nil {
			return err
		}
	}
	for _, g := range w.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Version is that of the newest configuration.
func (w *World) Version() int { return w.version }

// Configure writes the next configuration. It has the routes of all before it and
// one more, /vN/.
func (w *World) Configure() error {
	w.version++
	next := operator.Configuration{
		Version: w.version,
		Routes: []operator.Route{
			newRoute("/stream/", operator.Streaming, "llm", 2, w.config.StreamTimeout),
			newRoute("/single/", operator.Streaming, "llm", 1, w.config.StreamTimeout),
			newRoute("/safe/", operator.Idempotent, CallService, 2, routeTimeout),
			newRoute("/once/", operator.NonIdempotent, CallService, 1, routeTimeout),
		},
		Services:  []operator.Service{{Name: "llm"}, {Name: "app"}},
		Limits:    operator.Limits{MaxHeaderBytes: 8000, MaxBodyBytes: 100000, IdleTimeoutMS: 20000},
		Customers: []operator.Customer{{Name: Customer, Credentials: w.credentials, Rate: w.config.Rate, Burst: w.config.Burst}},
	}
	next.Routes[0].Resumable = true
	for v := range w.version {
		next.Routes = append(next.Routes, newRoute(fmt.Sprintf("/v%d/", v+1), operator.Idempotent, CallService, 2, routeTimeout))
	}
	return w.write(next.Write)
}

// Strays is the number of processes that ended by themselves.
func (w *World) Strays() int64 { return w.strays.Load() }

// Close ends all that was started.
func (w *World) Close() error {
	var first error
	note := func(err error) {
		if err != nil && first == nil {
			first = err
		}
	}
	for _, g := range w.Gateways {
		note(g.End())
		note(g.Store.Close())
		note(g.Callers.Close())
	}
	for _, u := range append(w.former, w.Upstreams...) {
		note(u.Relay.Close())
		u.Replica.Close()
		note(u.thread.Join())
	}
	w.Cloud.Close()
	w.Store.Close()
	for _, t := range w.threads {
		note(t.Join())
	}
	return first
}
