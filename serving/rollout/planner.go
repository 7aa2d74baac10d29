package rollout

import "time"

const (
	// firstShare is the part of the exposure allowed for a version not known to be sound
	// that the first stage uses. The rest is for the stages after it.
	firstShare = 0.5
	// minEvidence is the number of requests that the new version must have ended before it
	// gets more.
	minEvidence = 20
	// overload is how much more than its part of the slots the new version may get.
	overload = 1.5
	// minCapacity is the least capacity of the new version, over that of the others, with
	// which it gets all requests.
	minCapacity = 0.5
	// settleTime is the time in which all gateways know of a stage.
	settleTime = 2500 * time.Millisecond
	// endMargin is the time before the end of the roll-out's duration at which it ends, and
	// endMarginShare the part of the duration if that is shorter.
	endMargin      = 500 * time.Millisecond
	endMarginShare = 0.08
)

// RestoreGrace is the time after the store has been restored from an older copy in which
// the operator writes anew what it has lost.
const RestoreGrace = 10 * time.Second

// steps are the shares after the first one, with the parts of the duration from which
// they are due. They come late, so that a version that turns worse only later, or under
// load, has got few requests until then.
var steps = []struct{ from, share float64 }{{0.6, 0.25}, {0.7, 0.5}, {0.78, 1}}

// Planner decides on the stages of roll-outs.
type Planner struct {
	// Exposure is the part of the requests that may go to a version that proves to be
	// worse.
	Exposure float64
}

// Next returns the stage that follows, and whether it differs from the present one.
// Present is the newest known stage of the service, of whatever order; sum is what all
// gateways have counted for the order, and now the store's clock.
func (p Planner) Next(o Order, present Stage, sum Evidence, c Capacity, now time.Duration) (Stage, bool) {
	if present.Revision < o.Revision {
		if present.Concerns(o) || isWrittenAgain(o, present, now) {
			return carry(o, present, now), true
		}
		return p.begin(o, present, c, now), true
	}
	if present.Revision > o.Revision || present.HasEnded() {
		return present, false
	}
	next := present
	elapsed := now - present.StartedAt
	isDue := elapsed >= o.Duration-min(endMargin, time.Duration(endMarginShare*float64(o.Duration)))
	switch {
	case sum.IsWorse():
		next.State, next.Share = RolledBack, 0
	case present.Share >= 1 && (isDue || p.hasSettled(present, sum, now)):
		next.State, next.Former = Completed, c.OldVersions
	case isDue:
		// Too little is known of the new version, or there is too little of it.
		next.State, next.Share = RolledBack, 0
	default:
		next.Share = max(p.share(o, sum, c, elapsed), p.keptShare(present, c))
	}
	if next.State == present.State && next.Share == present.Share {
		return present, false
	}
	next.Sequence++
	next.StageAt = now
	return next, true
}

// begin returns the first stage of an order. If there are only upstreams of the new
// version, there is nothing to move.
func (p Planner) begin(o Order, present Stage, c Capacity, now time.Duration) Stage {
	s := Stage{
		Service: o.Service, To: o.To, Revision: o.Revision, Sequence: 1, State: Running, StartedAt: now, StageAt: now, After: present.Revision,
	}
	if c.Old == 0 && c.New > 0 {
		s.State, s.Share = Completed, 1
	}
	return s
}

// isWrittenAgain reports whether an order is likely to be the one of a stage, written
// again although the restored store still had an earlier copy of it.
func isWrittenAgain(o Order, present Stage, now time.Duration) bool {
	return present.Service == o.Service && present.To == o.To && present.CarriedAt > 0 && now-present.CarriedAt < RestoreGrace
}

// carry returns the stage of an order that goes on in a new timeline of the store.
func carry(o Order, present Stage, now time.Duration) Stage {
	if !isWrittenAgain(o, present, now) {
		present.CarriedAt = now
	}
	present.Revision = o.Revision
	present.Sequence++
	return present.In(timelineOf(o.Revision))
}

// share returns the share that is due some time after the start.
func (p Planner) share(o Order, sum Evidence, c Capacity, elapsed time.Duration) float64 {
	if c.New == 0 {
		return 0
	}
	share := firstShare * p.Exposure
	if total(sum.New).Ended < minEvidence {
		return min(share, p.most(c))
	}
	for _, step := range steps {
		if elapsed >= time.Duration(step.from*float64(o.Duration)) {
			share = step.share
		}
	}
	return min(share, p.most(c))
}

// keptShare returns the share that a running roll-out keeps although less would be due.
func (p Planner) keptShare(present Stage, c Capacity) float64 {
	return min(present.Share, p.most(c))
}

// most returns the largest share for which the new version has capacity.
func (p Planner) most(c Capacity) float64 {
	if float64(c.New) >= minCapacity*float64(c.Old) && c.New > 0 {
		return 1
	}
	return min(overload*float64(c.New)/float64(max(c.New+c.Old, 1)), 1)
}

// hasSettled reports whether all gateways send everything to the new version, and
// nothing runs at the others any more.
func (p Planner) hasSettled(present Stage, sum Evidence, now time.Duration) bool {
	return now-present.StageAt >= settleTime && sum.OpenOld == 0
}
