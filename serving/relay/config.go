package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

// Config holds the parameters of a Core.
type Config struct {
	// RetryRatio is the share of requests that may be sent once more, over all
	// gateways.
	RetryRatio float64
	// RetryExtra is the number of requests in RetryWindow that may be sent once
	// more beside that share, over all gateways.
	RetryExtra int
	// RetryWindow is the time over which both are counted.
	RetryWindow time.Duration
	// LimitWindow is the time over which a customer's limit is counted.
	LimitWindow time.Duration
	// LimitSlack is by how much all gateways together may exceed a customer's limit
	// over a while, in its unit.
	LimitSlack float64
	// Unconfirmed is set for a gateway that is one of many and does not know yet of
	// how many; see Divide.
	Unconfirmed bool
	// Health holds the parameters of the ejection of failing upstreams.
	Health health.Config
}
