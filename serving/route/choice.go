package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// Choice is the replica chosen for an attempt. The caller passes it back to the
// Router with each event of the attempt.
type Choice struct {
	// ID is the ID of the replica.
	ID string
	// Address is the IP and port of the replica.
	Address string
	// PredictedFirstToken is the predicted time until the first token.
	PredictedFirstToken time.Duration
	// CachedTokens is the predicted number of prompt tokens in the prefix cache
	// of the replica.
	CachedTokens int

	// incarnation distinguishes the replica from a later one with the same ID.
	incarnation prefix.Holder
	// uncached is the predicted number of prompt tokens to prefill.
	uncached int
	// baseline is the predicted time until the first token for a replica of
	// baseline speed.
	baseline time.Duration
	// isPrefilling is true from Started until FirstToken, Finished or Failed.
	isPrefilling bool
}
