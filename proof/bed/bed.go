package bed

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
	"github.com/sycamorecourse/sycamorecourse/standin/table"
)

// The names in the configuration of a Bed.
const (
	// Member is the only member.
	Member = "noranbus"
	// ModelName is the only model.
	ModelName = "route-llm"
	// ServiceName is the only plain service. A POST under /boardings runs at
	// most once.
	ServiceName = "rider-app"
	// Credential is that of the customer academy.
	Credential = "academy-secret"
	// OtherCredential is that of the customer elementary.
	OtherCredential = "elementary-secret"
)

// Bed is a running system.
type Bed struct {
	// Table is the table service.
	Table *table.Table
	// Engines are the model engines.
	Engines []*engine.Engine
	// Service is the plain service.
	Service *service.Service
	// Gateways are the gateways.
	Gateways []*gateway.Gateway

	config  Config
	threads []*thread.Thread
}

// Open starts a Bed.
func Open(config Config) (*Bed, error) {
	netlog.Install(zerolog.Nop())
	b := &Bed{config: config}
	b.Table = table.New(table.Config{Address: "127.0.0.1:0"})
	if err := b.start("table", b.Table.Open, b.Table.Run); err != nil {
		return nil, err
	}
	b.Service = service.New(service.Config{Address: "127.0.0.1:0"})
	if err := b.start("service", b.Service.Open, b.Service.Run); err != nil {
		return nil, err
	}
	for i := range config.Engines {
		if err := b.startEngine(i); err != nil {
			return nil, err
		}
	}
	for i := range config.Gateways {
		if err := b.startGateway(i); err != nil {
			return nil, err
		}
	}
	return b, b.Apply(gateway.Update{
		Configuration: Configuration(config.MaxConcurrent),
		Upserts:       b.Instances(),
		Gateways:      b.Addresses(),
	})
}

// Apply gives news to all gateways.
func (b *Bed) Apply(u gateway.Update) error {
	for _, g := range b.Gateways {
		if err := g.Apply(u); err != nil {
			return err
		}
	}
	return nil
}

// Instances lists the upstreams.
func (b *Bed) Instances() []fleet.Instance {
	domains := []string{"seoul-a", "seoul-b", "seoul-c"}
	list := []fleet.Instance{{
		ID: "service-0", Member: Member, Pool: ServiceName, Address: b.Service.Address(),
		FailureDomain: domains[0], State: fleet.Live,
	}}
	for i, e := range b.Engines {
		list = append(list, fleet.Instance{
			ID: fmt.Sprintf("engine-%d", i), Member: Member, Pool: ModelName, Address: e.Address(),
			FailureDomain: domains[i%len(domains)], State: fleet.Live,
		})
	}
	return list
}

// Addresses lists the gateways.
func (b *Bed) Addresses() []gateway.NamedAddress {
	var list []gateway.NamedAddress
	for _, g := range b.Gateways {
		list = append(list, gateway.NamedAddress{Address: caller.Address{Address: g.Address(), FailureDomain: "seoul-a", Weight: 1}})
	}
	return list
}

// Seeds lists the addresses of the gateways.
func (b *Bed) Seeds() []string {
	var list []string
	for _, g := range b.Gateways {
		list = append(list, g.Address())
	}
	return list
}

// Close ends all gateways gracefully, then the stand-ins.
func (b *Bed) Close() error {
	for _, g := range b.Gateways {
		g.Stop()
	}
	first := b.join(b.threads[2+len(b.Engines):])
	for _, e := range b.Engines {
		e.Close()
	}
	b.Service.Close()
	b.Table.Close()
	if err := b.join(b.threads[:2+len(b.Engines)]); err != nil && first == nil {
		first = err
	}
	return first
}

// StopGateway ends one gateway gracefully and waits for its end.
func (b *Bed) StopGateway(i int) error {
	b.Gateways[i].Stop()
	return b.threads[2+len(b.Engines)+i].Join()
}

func (b *Bed) join(threads []*thread.Thread) error {
	var first error
	for _, t := range threads {
		if err := t.Join(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (b *Bed) start(name string, open, run func() error) error {
	if err := open(); err != nil {
		return err
	}
	b.threads = append(b.threads, thread.Start(name, run))
	return nil
}

func (b *Bed) startEngine(i int) error {
	c := b.config.Engine
	c.Name = fmt.Sprintf("engine-%d", i)
	c.Address = "127.0.0.1:0"
	c.Models = []engine.Model{{Name: ModelName, Version: "1"}}
	e := engine.New(c)
	b.Engines = append(b.Engines, e)
	return b.start(c.Name, e.Open, e.Run)
}

func (b *Bed) startGateway(i int) error {
	s := &gateway.Settings{
		Instance:      fmt.Sprintf("gateway-%d", i),
		Region:        "kr-seoul",
		FailureDomain: "seoul-a",
		ListenAddress: "127.0.0.1:0",
		AdminAddress:  "127.0.0.1:0",
		MaxRequests:   max(b.config.MaxRequests, 64),
		MaxAttempts:   4,
		Retention:     max(b.config.Retention, time.Second),
		ResumeGrace:   time.Second,
		AttemptWindow: 5 * time.Second,
		TableTimeout:  2 * time.Second,
		ProbeInterval: time.Second,
		AddressKeep:   time.Second,
		DrainTimeout:  time.Minute,
		LeaveDelay:    b.config.LeaveDelay,
		Policy:        b.config.Policy,
	}
	if !b.config.WithoutTable {
		s.TableAddress = b.Table.Address()
	}
	g := gateway.New(s, zerolog.New(io.Discard), "test")
	b.Gateways = append(b.Gateways, g)
	return b.start(s.Instance, g.Open, g.Run)
}

// Configuration is the configuration of a Bed.
func Configuration(maxConcurrent int) *intent.Configuration {
	return &intent.Configuration{Version: 1, Documents: []intent.Document{{
		Member: Member,
		Models: []intent.Model{{Name: ModelName, Version: "1", FirstTokenMillis: 5000, NextTokenMillis: 100}},
		Pools: []intent.Pool{
			{Name: ModelName, Kind: intent.Engine, Model: ModelName, Replicas: 1, MaxConcurrent: max(maxConcurrent, 16)},
			{Name: ServiceName, Kind: intent.PlainService, Replicas: 1, MaxConcurrent: 64},
		},
		Services: []intent.Service{{
			Name: ServiceName, Pool: ServiceName, TimeoutMillis: 10_000,
			NonIdempotent: []intent.CallRule{{Method: "POST", PathPrefix: "/boardings"}},
		}},
		Customers: []intent.Customer{
			{Name: "academy", CredentialSHA256: digest(Credential), Share: 1},
			{Name: "elementary", CredentialSHA256: digest(OtherCredential), Share: 1},
		},
	}}}
}

func digest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}
