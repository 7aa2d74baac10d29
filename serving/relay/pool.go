package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

// pool holds the upstreams of one service.
type pool struct {
	service string
	members map[string]*member // by ID
	list    []*member          // the same, for iteration
	health  *health.Group
	// pauses holds the pauses of former members, by their start, in case the list lacks
	// them only for a time.
	pauses map[uint64]clock.Instant
	budget retryBudget
	// errorRate is the moving average of responses that were server errors, over
	// all members.
	errorRate float64
	// speed is that of the service's engines when idle.
	speed engineSpeed
	// prefillDemand is the number of uncached prompt tokens sent per second.
	prefillDemand demand
}

func newPool(service string, config Config) *pool {
	return &pool{
		service: service,
		members: make(map[string]*member),
		pauses:  make(map[uint64]clock.Instant),
		health:  health.NewGroup(config.Health),
		speed:   newEngineSpeed(),

		prefillDemand: demand{window: demandWindow},
		budget:        retryBudget{ratio: config.RetryRatio, extra: config.RetryExtra, window: config.RetryWindow},
	}
}

// setUpstreams replaces the members of the pool. An upstream that restarted under
// its ID or moved to another address is a new member.
func (p *pool) setUpstreams(upstreams map[string]*catalog.Upstream, now clock.Instant) {
	for start, until := range p.pauses {
		if !now.Before(until) {
			delete(p.pauses, start)
		}
	}
	for id, m := range p.members {
		u := upstreams[id]
		if u == nil || u.StartedAtMillis != m.upstream.StartedAtMillis || u.Address != m.upstream.Address {
			p.health.Remove(&m.record)
			delete(p.members, id)
			if now.Before(m.pausedUntil) {
				p.pauses[m.startHash] = m.pausedUntil
			}
			continue
		}
		m.upstream = u
	}
	for id, u := range upstreams {
		if p.members[id] == nil {
			m := newMember(u)
			m.pausedUntil = p.pauses[m.startHash]
			p.members[id] = m
			p.health.Add()
		}
	}
	p.list = p.list[:0]
	for _, m := range p.members {
		p.list = append(p.list, m)
	}
}

// recordStatus records whether a response was a server error. Errors count
// against the health of an upstream only if its error rate is high and more than
// twice that of the pool: errors everywhere are not the fault of one upstream.
func (p *pool) recordStatus(m *member, isError bool, now clock.Instant) {
	value := 0.0
	if isError {
		value = 1
	}
	m.errorRate += errorRateWeight * (value - m.errorRate)
	p.errorRate += errorRateWeight * (value - p.errorRate)
	if isError && m.errorRate > errorRateLimit && m.errorRate > 2*p.errorRate {
		p.health.Failed(&m.record, now)
		return
	}
	p.health.Succeeded(&m.record)
}
