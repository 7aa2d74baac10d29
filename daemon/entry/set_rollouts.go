package entry

import "github.com/sycamorecourse/sycamorecourse/serving/rollout"

// setRollouts replaces the orders of roll-outs in force, by service.
type setRollouts struct {
	orders map[string]rollout.Order
}

func (setRollouts) isDispatchMessage() {}

func (setRollouts) isClusterMessage() {}
