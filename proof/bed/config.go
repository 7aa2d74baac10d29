package bed

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

// Config sets up a Bed.
type Config struct {
	// Engines is the number of model engines.
	Engines int
	// Engine sets up each of them.
	Engine engine.Config
	// Gateways is the number of gateways.
	Gateways int
	// MaxConcurrent bounds the requests in progress at one upstream.
	MaxConcurrent int
	// MaxRequests bounds the requests kept by a gateway.
	MaxRequests int
	// Retention is how long an ended answer is kept.
	Retention time.Duration
	// Policy names how upstreams are chosen.
	Policy string
	// LeaveDelay is how long a stopping gateway goes on answering. Callers of a
	// Bed keep addresses for a second.
	LeaveDelay time.Duration
	// WithoutTable leaves the gateways without a table service.
	WithoutTable bool
}
