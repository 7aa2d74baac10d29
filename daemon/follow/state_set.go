package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// stateSet is a change of the state of this process.
type stateSet struct {
	state spread.MemberState
}

func (stateSet) isEvent() {}
