package entry

import "github.com/sycamorecourse/sycamorecourse/serving/rollout"

// storedRollout is what the holder of the duties knows of the stored stage of a service's
// roll-out.
type storedRollout struct {
	// isKnown is set once the row has been read, and isBusy during a call.
	isKnown, isBusy bool
	stage           rollout.Stage
	// version is the store's version of the row; 0 if there is none.
	version uint64
	// timeline is that of the store in which the row was read.
	timeline uint64
}
