package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

// Config holds the parameters of a Core.
type Config struct {
	// RetryRatio is the allowed ratio of retries to requests, over all gateways.
	RetryRatio float64
	// RetryExtra is the number of retries in each RetryWindow that are allowed in
	// addition to RetryRatio, over all gateways.
	RetryExtra int
	// RetryWindow is the sliding window in which requests and retries are counted.
	RetryWindow time.Duration
	// LimitWindow is the sliding window in which a customer's use of its limit is
	// counted; 0 means 8 seconds.
	LimitWindow time.Duration
	// LimitOverage is the part of a customer's limit by which its use in a LimitWindow
	// may exceed it, over all gateways.
	LimitOverage float64
	// LimitSlack is how much all gateways together may admit beyond that, in the unit
	// of the limit.
	LimitSlack float64
	// GatewayCountUnknown is set if there are other gateways whose number is not
	// known until the first call of SetDivision.
	GatewayCountUnknown bool
	// Health configures the ejection of failing upstreams.
	Health health.Config
}
