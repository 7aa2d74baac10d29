package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// rolloutCapacity bounds the queued replies; there is one for each confirmation
// that can be pending.
const rolloutCapacity = 256

// rollout is the duty that forwards reports of which processes have a version
// to the planner.
type rollout struct {
	inbox   *ring.Ring[spread.Progress]
	planner *ring.Ring[plannerEvent]
}

func newRollout(planner *ring.Ring[plannerEvent]) *rollout {
	return &rollout{inbox: ring.New[spread.Progress]("rollout", rolloutCapacity), planner: planner}
}

func (r *rollout) run() error {
	for {
		progress, err := r.inbox.Take()
		if err != nil {
			return nil
		}
		// A report dropped by a full ring is covered by the planner's deadline.
		_ = r.planner.Offer(plannerEvent{progress: &progress})
	}
}
