package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// defaultRetryAfter is the RetryAfter of refusals whose cause lasts for an
// unknown time.
const defaultRetryAfter = time.Second

// Config sets up a Core. The zero value of each field but Holder takes its
// default.
type Config struct {
	// Holder identifies this run of the gateway in the records of attempts.
	Holder attempt.Holder
	// ClaimWindow limits the time from claiming an attempt to sending its first
	// byte. Default 5 s with a margin of 100 ms.
	ClaimWindow attempt.Window
	// MaxRequests limits the requests kept, including ended ones. Default 4096.
	MaxRequests int
	// MaxAttempts limits the attempts of one request. Default 4.
	MaxAttempts int
	// Retention is how long a request is kept after its end, so that callers can
	// fetch its answer by key. Default 60 s.
	Retention time.Duration
	// ResumeGrace is how long an idempotent request continues without a caller
	// before it is canceled. Default 10 s.
	ResumeGrace time.Duration
	// MoveMargin is subtracted from the time that a leaving instance has left: a
	// request that is predicted to run longer is moved. Default 500 ms.
	MoveMargin time.Duration
	// DisableExport moves requests without their KV cache: the next upstream
	// computes it again.
	DisableExport bool
	// PoolSubset limits the upstreams of one pool that this gateway routes to.
	// Default 64.
	PoolSubset int
	// Retry configures the retry budget, of which only RatioPerMille and Burst
	// are used. Default one retry per ten requests, with a burst of 20.
	Retry retry.Config
	// MaxInlineBytes limits the size of an answer that is stored in the record
	// of a non-idempotent request. Default 8 KiB.
	MaxInlineBytes int
	// Route configures the choice of upstreams.
	Route route.Config
	// Queue configures the queue of requests that wait for an upstream.
	Queue admit.Config
}

func (c Config) withDefaults() Config {
	if c.ClaimWindow.Length <= 0 {
		c.ClaimWindow = attempt.Window{Length: 5 * time.Second, Margin: 100 * time.Millisecond}
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = 4096
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = 4
	}
	if c.Retention <= 0 {
		c.Retention = time.Minute
	}
	if c.ResumeGrace <= 0 {
		c.ResumeGrace = 10 * time.Second
	}
	if c.MoveMargin <= 0 {
		c.MoveMargin = 500 * time.Millisecond
	}
	if c.PoolSubset <= 0 {
		c.PoolSubset = 64
	}
	if c.Retry.RatioPerMille <= 0 {
		c.Retry.RatioPerMille = 100
	}
	if c.Retry.Burst <= 0 {
		c.Retry.Burst = 20
	}
	if c.MaxInlineBytes <= 0 {
		c.MaxInlineBytes = 8 << 10
	}
	return c
}
