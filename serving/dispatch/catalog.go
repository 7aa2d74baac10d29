package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// catalog is the confirmed configuration, indexed for requests.
type catalog struct {
	version   uint64
	models    map[name]target
	services  map[name]service
	pools     map[name]intent.Pool
	customers []admit.Customer
}

func newCatalog(c *intent.Configuration) *catalog {
	k := &catalog{
		version:  c.Version,
		models:   make(map[name]target),
		services: make(map[name]service),
		pools:    make(map[name]intent.Pool),
	}
	for i := range c.Documents {
		k.add(&c.Documents[i])
	}
	return k
}

func (k *catalog) add(d *intent.Document) {
	targets := make(map[string]time.Duration, len(d.Models))
	for _, m := range d.Models {
		targets[m.Name] = time.Duration(m.FirstTokenMillis) * time.Millisecond
	}
	for _, p := range d.Pools {
		k.pools[name{d.Member, p.Name}] = p
		if p.Kind != intent.Engine {
			continue
		}
		k.models[name{d.Member, p.Model}] = target{
			pool:       poolName(d.Member, p.Name),
			model:      p.Model,
			firstToken: targets[p.Model],
		}
	}
	for _, s := range d.Services {
		k.services[name{d.Member, s.Name}] = service{
			Service: s,
			target: target{
				pool:    poolName(d.Member, s.Pool),
				timeout: time.Duration(s.TimeoutMillis) * time.Millisecond,
			},
		}
	}
	for _, c := range d.Customers {
		k.customers = append(k.customers, admit.Customer{
			Name:              CustomerName(d.Member, c.Name),
			Share:             c.Share,
			RequestsPerSecond: c.RequestsPerSecond,
			MaxConcurrent:     c.MaxConcurrent,
		})
	}
}

// CustomerName is how a customer is named across members.
func CustomerName(member, customer string) string {
	return member + "/" + customer
}

func poolName(member, pool string) string {
	return member + "/" + pool
}
