package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// Choice is a replica chosen for an attempt. It is handed back to the Router
// with each event of the attempt.
type Choice struct {
	// ID names the replica.
	ID string
	// Address is the IP and port of the replica.
	Address string
	// PredictedFirstToken is the predicted time until the first token.
	PredictedFirstToken time.Duration
	// CachedTokens is the predicted number of prompt tokens that the replica
	// need not compute.
	CachedTokens int

	// incarnation tells the replica from a later one of the same name.
	incarnation prefix.Holder
	// uncached is the predicted number of prompt tokens to be computed.
	uncached int
	// ordinary is the prediction for a replica of ordinary speed.
	ordinary time.Duration
	// computing is set from Started to FirstToken.
	computing bool
}
