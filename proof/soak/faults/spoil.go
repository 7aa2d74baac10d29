package faults

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

const (
	// spoilChance is one in how many draws adds an upstream that spoils its responses, and
	// one that spoils their heads.
	spoilChance = 3
	// rejectEvery is how often such an upstream refuses, and longestSpoil bounds the bytes
	// of a response that it repeats or leaves.
	rejectEvery  = 5
	longestSpoil = 160
	// longestSpoilTime bounds how long that goes on.
	longestSpoilTime = 2 * time.Second
)

// drawSpoils draws whether upstreams spoil their responses.
func (d *Driver) drawSpoils() {
	if d.spoils.IntN(spoilChance) == 0 {
		d.spoil(d.world.Upstreams[d.spoils.IntN(len(d.world.Upstreams))])
	}
	if d.heads.IntN(spoilChance) == 0 {
		d.spoilHeads(d.world.Upstreams[d.heads.IntN(len(d.world.Upstreams))])
	}
}

// spoil makes an upstream that answers in one piece refuse some requests, and spoils its
// responses: it begins to repeat them, cuts them off, or adds bytes without end.
func (d *Driver) spoil(u *world.Upstream) {
	if u.Service != world.CallService {
		return
	}
	kinds := []relay.FaultKind{relay.RepeatStart, relay.RepeatStart, relay.CutOff, relay.Endless}
	fault := relay.Fault{Kind: kinds[d.spoils.IntN(len(kinds))], Bytes: 1 + d.spoils.IntN(longestSpoil)}
	d.add(0, fmt.Sprintf("%s spoils its responses %+v", u.ID, fault), d.refusing(u, rejectEvery, fault))
	d.add(time.Duration(d.spoils.Int64N(int64(longestSpoilTime)))+time.Millisecond, u.ID+" spoils no more", d.refusing(u, 0, relay.Fault{}))
}

// spoilHeads makes an upstream that answers in one piece add lines to the heads of its
// responses that no sound head has.
func (d *Driver) spoilHeads(u *world.Upstream) {
	if u.Service != world.CallService {
		return
	}
	fault := relay.Fault{Kind: relay.SpoilHead, Line: d.heads.Int()}
	d.add(0, fmt.Sprintf("%s spoils its heads %+v", u.ID, fault), d.refusing(u, 0, fault))
	d.add(time.Duration(d.heads.Int64N(int64(longestSpoilTime)))+time.Millisecond, u.ID+" spoils its heads no more", d.refusing(u, 0, relay.Fault{}))
}

// refusing returns the step that makes an upstream refuse one in so many requests, 0 being
// none, and spoils its responses.
func (d *Driver) refusing(u *world.Upstream, every int, fault relay.Fault) func() error {
	return func() error {
		if err := u.Relay.Set(relay.State{Fault: fault}); err != nil {
			return err
		}
		return world.Posted(u.Replica, func() { u.Replica.UpdateConfig(func(c *replica.Config) { c.RejectEvery = every }) })
	}
}
