package entry

import "github.com/sycamorecourse/sycamorecourse/serving/rollout"

// rolloutWritten is the result of storing a stage of a roll-out.
type rolloutWritten struct {
	stage   rollout.Stage
	version uint64
	err     error
}

func (rolloutWritten) isClusterMessage() {}
