package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// stateSet changes the announced state of this process.
type stateSet struct {
	state spread.MemberState
}

func (stateSet) isEvent() {}
