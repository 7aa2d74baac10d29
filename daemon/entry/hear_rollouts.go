package entry

import "github.com/sycamorecourse/sycamorecourse/serving/rollout"

// hearRollouts holds the stages of roll-outs that gateways have published, and what the
// other gateways have counted in them.
type hearRollouts struct {
	stages   []rollout.Stage
	evidence []rollout.Evidence
}

func (hearRollouts) isDispatchMessage() {}
