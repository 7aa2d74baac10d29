package route

import "github.com/sycamorecourse/sycamorecourse/serving/health"

// pool is a group of interchangeable upstreams.
type pool struct {
	members []*upstream
	// nextIndex is where the next round-robin choice starts.
	nextIndex int
	// slowdown is the moving average over all members.
	slowdown ewma
	health   *health.Group
}

func (p *pool) add(u *upstream) {
	u.pool = p
	u.position = len(p.members)
	p.members = append(p.members, u)
	p.health.Add()
}

func (p *pool) remove(u *upstream) {
	p.health.Remove(&u.health)
	last := len(p.members) - 1
	moved := p.members[last]
	p.members[u.position] = moved
	moved.position = u.position
	p.members[last] = nil
	p.members = p.members[:last]
}
