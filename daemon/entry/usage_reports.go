package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// usageReports is the state of a gateway's usage reports.
type usageReports struct {
	reportsUsage bool
	reporter     *usage.Reporter
	ledger       *usage.Ledger
	reporting    bool // a usage report is in progress
	reportAt     clock.Instant
	lastReported int64         // usage window of the last report
	termAt       clock.Instant // when this gateway became the holder
	// doubtKnownFor is the timeline of the store for which the ledger knows what is in
	// doubt; nothing is reported in another one.
	doubtKnownFor uint64
}
