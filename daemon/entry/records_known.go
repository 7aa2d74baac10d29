package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
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

// mergeInto adds the records to a log. After all records of the store it drops those of
// gateways that are no longer there.
func (m recordsKnown) mergeInto(log *exchange.RecordLog, storeClock time.Duration) {
	names := make(map[string]bool, len(m.records))
	for _, r := range m.records {
		names[r.Instance] = true
		log.Put(r)
	}
	if m.isComplete {
		log.Keep(names, storeClock, deadRecordTimeout)
	}
}
