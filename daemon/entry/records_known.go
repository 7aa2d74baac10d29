package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

// recordsKnown hands records of gateways from one duty to another: to the peers
// duty those that were read from the store, to the cluster duty those that other
// gateways have passed on.
type recordsKnown struct {
	records []cluster.Record
	// clock is the store's clock as the sender of the records estimates it; 0 if it
	// is not known.
	clock time.Duration
	// fromHub is set if they are the news of a hub.
	fromHub bool
	// isComplete is set if they are all records in the store.
	isComplete bool
}

func (recordsKnown) isPeerMessage()    {}
func (recordsKnown) isClusterMessage() {}
