package exchange

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// loggedRecord is a record and its position in the log.
type loggedRecord struct {
	record   cluster.Record
	position uint64
	// isFirstHand is true if it came from the gateway itself.
	isFirstHand bool
}
