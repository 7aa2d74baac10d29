package controller

import (
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// configurationChain is the chain of confirmed configurations.
const configurationChain confirm.Chain = "federation"

const planPartitionPrefix = "plans/"

// planKey returns the key of a plan's row. The plans of a day share a
// partition.
func planKey(id string) row.Key {
	return row.Key{Partition: planPartitionPrefix + plan.DayOf(id), Sort: id}
}

// ledgerPartition holds the ledgers of all pools, so that a new holder of the
// fleet lease reads them in one call.
const ledgerPartition = "ledger"

// ledgerKey returns the key of a pool's ledger.
func ledgerKey(member, pool string) row.Key {
	return row.Key{Partition: ledgerPartition, Sort: member + "/" + pool}
}

// fenceKey returns the key of the fence row, which each new holder of the fleet
// lease writes and every ledger write checks.
func fenceKey() row.Key {
	return row.Key{Partition: "ledger-fence", Sort: "fence"}
}

// splitLedgerKey returns the member and pool of a ledger's key.
func splitLedgerKey(key row.Key) (member, pool string, ok bool) {
	return strings.Cut(key.Sort, "/")
}
