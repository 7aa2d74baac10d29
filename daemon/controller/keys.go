package controller

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

const (
	configurationPartition = "configuration"
	planPartitionPrefix    = "plans/"
)

// headKey names the row of the configuration in force. Each confirmation writes
// it once, so the version of the row is the version of the configuration.
func headKey() row.Key {
	return row.Key{Partition: configurationPartition, Sort: "head"}
}

// versionKey names the row that keeps a version for the history.
func versionKey(version uint64) row.Key {
	return row.Key{Partition: configurationPartition, Sort: fmt.Sprintf("version/%020d", version)}
}

// planKey names the row of a plan. Plans are grouped by day.
func planKey(id string) row.Key {
	return row.Key{Partition: planPartitionPrefix + plan.DayOf(id), Sort: id}
}
