package faults

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

const (
	// leastRestarts and mostRestarts bound the starts of a series.
	leastRestarts = 2
	mostRestarts  = 6
	// longestUptime bounds the time between two of them, and longestStale how long the entry
	// of a former ID stays after the restart.
	longestUptime = 120 * time.Millisecond
	longestStale  = 1500 * time.Millisecond
	// longestCopyDelay bounds the time between a refusal and its late copy.
	longestCopyDelay = 20 * time.Millisecond
)

// restart makes an upstream that answers in one piece start anew several times, under
// another ID at the same address each time, while the entries of its former IDs stay. It
// repeats its refusals meanwhile, those of load among them.
func (d *Driver) restart(u *world.Upstream) {
	if u.Service != world.CallService {
		return
	}
	fault := relay.Fault{Kind: relay.CopyOnRetry}
	if d.restarts.IntN(2) == 0 {
		fault = relay.Fault{Kind: relay.LateCopy, Delay: d.restartSpan(longestCopyDelay)}
	}
	d.add(0, fmt.Sprintf("%s repeats its refusals %+v", u.ID, fault), d.refusing(u, rejectEvery, fault))
	at := time.Duration(0)
	for range leastRestarts + d.restarts.IntN(mostRestarts-leastRestarts+1) {
		d.restartOnce(u, at)
		at += d.restartSpan(longestUptime)
	}
	d.add(at+longestStale, u.ID+" repeats no more", d.refusing(u, 0, relay.Fault{}))
}

// restartOnce schedules one start, and the removal of the former entry.
func (d *Driver) restartOnce(u *world.Upstream, at time.Duration) {
	former := ""
	d.add(at, u.ID+" restarts", func() error {
		if !d.world.IsPresent(u) {
			return nil
		}
		var err error
		former, err = d.world.Restart(u)
		return err
	})
	d.add(at+d.restartSpan(longestStale), u.ID+" loses a former entry", func() error {
		if former == "" {
			return nil
		}
		return d.world.RemoveEntry(former)
	})
}

func (d *Driver) restartSpan(longest time.Duration) time.Duration {
	return time.Duration(d.restarts.Int64N(int64(longest))) + time.Millisecond
}
