package site

// Member is an organisation whose pools run.
type Member struct {
	// Name names the member.
	Name string
	// Region holds the failure domains.
	Region string
	// FailureDomains are where its instances run.
	FailureDomains []string
	// Pools are its pools.
	Pools []Pool
}

// WithReplicas returns the member with other numbers of instances in each pool
// of engines and of services. A number below 0 changes nothing.
func (m Member) WithReplicas(engines, services int) Member {
	pools := make([]Pool, len(m.Pools))
	for i, p := range m.Pools {
		switch {
		case p.Kind == Engine && engines >= 0:
			p.Reclaimable = share(p, engines)
			p.Replicas = engines
		case p.Kind == PlainService && services >= 0:
			p.Reclaimable = share(p, services)
			p.Replicas = services
		}
		pools[i] = p
	}
	m.Pools = pools
	return m
}

// share keeps the part of the instances that can be reclaimed.
func share(p Pool, replicas int) int {
	if p.Replicas == 0 {
		return 0
	}
	return p.Reclaimable * replicas / p.Replicas
}
