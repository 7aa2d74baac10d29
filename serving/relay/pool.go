package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

// pool is the upstreams of one service.
type pool struct {
	service string
	members map[string]*member
	order   []*member
	group   *health.Group
	budget  budget
	errors  float64
	read    demand // prompt tokens a second that must be read
}

func newPool(service string, config Config) *pool {
	return &pool{
		service: service,
		members: make(map[string]*member),
		group:   health.NewGroup(config.Health),
		budget:  budget{ratio: config.RetryRatio, extra: config.RetryExtra, window: config.RetryWindow},
	}
}

// set replaces the upstreams of the pool. One that started again under its name
// is a new one.
func (p *pool) set(upstreams map[string]*catalog.Upstream) {
	for id, m := range p.members {
		u := upstreams[id]
		if u == nil || u.Born != m.upstream.Born || u.Address != m.upstream.Address {
			p.group.Remove(&m.record)
			delete(p.members, id)
			continue
		}
		m.upstream = u
	}
	for id, u := range upstreams {
		if p.members[id] == nil {
			p.members[id] = newMember(u)
			p.group.Add()
		}
	}
	p.order = p.order[:0]
	for _, m := range p.members {
		p.order = append(p.order, m)
	}
}

// answered notes the status of an answer. Server errors are a fault of the
// upstream only where the others of the pool have far fewer.
func (p *pool) answered(m *member, isError bool, now clock.Instant) {
	value := 0.0
	if isError {
		value = 1
	}
	m.errors += outcomeWeight * (value - m.errors)
	p.errors += outcomeWeight * (value - p.errors)
	if isError && m.errors > errorLimit && m.errors > 2*p.errors {
		p.group.Failed(&m.record, now)
		return
	}
	p.group.Succeeded(&m.record)
}
