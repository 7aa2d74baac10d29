package controller

import (
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// chain is the chain of confirmed configurations.
const chain confirm.Chain = "federation"

const planPartitionPrefix = "plans/"

// planKey names the row of a plan. Plans are grouped by day.
func planKey(id string) row.Key {
	return row.Key{Partition: planPartitionPrefix + plan.DayOf(id), Sort: id}
}

// ledgerPartition holds the ledgers of all pools, which a new holder of the
// fleet lease reads together.
const ledgerPartition = "ledger"

// ledgerKey names the row of the ledger of a pool.
func ledgerKey(member, pool string) row.Key {
	return row.Key{Partition: ledgerPartition, Sort: member + "/" + pool}
}

// fenceKey names the row that each new holder of the fleet lease writes.
func fenceKey() row.Key {
	return row.Key{Partition: "ledger-fence", Sort: "fence"}
}

// poolOfKey returns the pool of a ledger.
func poolOfKey(key row.Key) (member, pool string, ok bool) {
	return strings.Cut(key.Sort, "/")
}
