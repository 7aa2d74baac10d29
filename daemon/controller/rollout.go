package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// rolloutCapacity has room for the answers to all confirmations that can wait.
const rolloutCapacity = 256

// rollout is the duty that passes on to the planner how far a version has come.
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
		// What the planner has no room for is made up by its own deadline.
		_ = r.planner.Offer(plannerEvent{progress: &progress})
	}
}
