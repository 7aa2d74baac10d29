package history

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/member"
)

const (
	leastLinkLatency = time.Millisecond
	mostLinkLatency  = 80 * time.Millisecond // between regions
	linkTimeout      = 5 * time.Second
)

// MemberRun is a run of processes that keep views of each other over few links.
type MemberRun struct {
	// Messages counts what all processes sent.
	Messages int

	world  *World
	config member.Config
	byName map[string]*memberNode
	nodes  []*memberNode
}

// NewMemberRun makes a run of the given number of processes in the given number
// of failure domains, which all know each other.
func NewMemberRun(seed uint64, count, domains int) *MemberRun {
	w := NewWorld(seed)
	r := &MemberRun{world: w, config: member.DefaultConfig(), byName: make(map[string]*memberNode)}
	var all []member.Update
	for i := range count {
		peer := member.Peer{
			Instance:      fmt.Sprint("gateway-", i),
			Incarnation:   1,
			FailureDomain: fmt.Sprint("domain-", i%domains),
			Address:       fmt.Sprintf("10.0.%d.%d:7443", i/256, i%256),
		}
		all = append(all, member.Update{Peer: peer, Liveness: member.Live})
	}
	for _, u := range all {
		r.startNode(u.Peer, all)
	}
	return r
}

// Run plays a part of the run.
func (r *MemberRun) Run(d time.Duration) {
	r.world.Run(d)
}

// Leave lets a process announce its end.
func (r *MemberRun) Leave(i int) {
	n := r.nodes[i]
	n.spread([]member.Update{n.view.Leave()}, "")
}

// Lose ends all processes of a failure domain at once, without notice.
func (r *MemberRun) Lose(domain string) {
	for _, n := range r.nodes {
		if n.view.Self().Peer.FailureDomain == domain {
			n.isLost = true
		}
	}
}

// Count returns the number of pairs of a running process and another one that
// it sees in the given state.
func (r *MemberRun) Count(state member.State) int {
	pairs := 0
	for _, n := range r.nodes {
		if !n.isLost {
			pairs += n.view.Count(state)
		}
	}
	return pairs
}

// Until plays the run until the condition holds, and returns how long that took,
// in steps of a hundredth of the limit. It gives up after the limit.
func (r *MemberRun) Until(limit time.Duration, holds func() bool) time.Duration {
	step := limit / 100
	passed := time.Duration(0)
	for !holds() && passed < limit {
		r.world.Run(step)
		passed += step
	}
	return passed
}

func (r *MemberRun) startNode(self member.Peer, all []member.Update) {
	now := r.world.Now()
	n := &memberNode{run: r, view: member.NewView(r.config, self, now), incoming: make(map[string]clock.Instant)}
	for _, u := range all {
		n.view.Merge(u, now)
	}
	r.nodes = append(r.nodes, n)
	r.byName[self.Instance] = n
	r.world.After(r.world.Between(0, r.config.HeartbeatEvery), n.tick)
}

// send carries a message over a link.
func (r *MemberRun) send(to string, take func(*memberNode)) {
	r.Messages++
	r.world.After(r.world.Between(leastLinkLatency, mostLinkLatency), func() {
		if n := r.byName[to]; !n.isLost {
			take(n)
		}
	})
}
