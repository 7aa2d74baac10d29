package check

import "github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"

// observation is the output of an operation of the model: what a caller was
// told, or the number of runs that the witnesses saw after all submissions.
type observation struct {
	isWitness bool
	runs      int
	outcome   callers.Outcome
	answer    string
}
