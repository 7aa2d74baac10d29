package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// catalog indexes the confirmed configuration by what requests name.
type catalog struct {
	version   uint64
	models    map[qualifiedName]target
	services  map[qualifiedName]service
	pools     map[qualifiedName]intent.Pool
	customers []admit.Customer
}

func newCatalog(c *intent.Configuration) *catalog {
	k := &catalog{
		version:  c.Version,
		models:   make(map[qualifiedName]target),
		services: make(map[qualifiedName]service),
		pools:    make(map[qualifiedName]intent.Pool),
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
		k.pools[qualifiedName{d.Member, p.Name}] = p
		if p.Kind != intent.Engine {
			continue
		}
		k.models[qualifiedName{d.Member, p.Model}] = target{
			pool:             poolName(d.Member, p.Name),
			model:            p.Model,
			firstTokenTarget: targets[p.Model],
		}
	}
	for _, s := range d.Services {
		k.services[qualifiedName{d.Member, s.Name}] = service{
			Service: s,
			target: target{
				pool:            poolName(d.Member, s.Pool),
				defaultDeadline: time.Duration(s.TimeoutMillis) * time.Millisecond,
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

// CustomerName returns the name of a customer that is unique across members.
func CustomerName(member, customer string) string {
	return member + "/" + customer
}

func poolName(member, pool string) string {
	return member + "/" + pool
}
