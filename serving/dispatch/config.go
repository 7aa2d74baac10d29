package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// retryPause is when a caller may try again after a refusal that says nothing of
// how long its cause lasts.
const retryPause = time.Second

// Config sets up a Core. The zero value of each field but Holder takes its
// default.
type Config struct {
	// Holder names this gateway in the records of attempts.
	Holder attempt.Holder
	// Window bounds the time from the claim of an attempt to its first byte.
	// Default 5 s with a margin of 100 ms.
	Window attempt.Window
	// MaxRequests bounds the requests kept, ended ones included. Default 4096.
	MaxRequests int
	// MaxAttempts bounds the attempts of one request. Default 4.
	MaxAttempts int
	// Retention is how long an ended answer is kept for callers that ask for it
	// by its key. Default 60 s.
	Retention time.Duration
	// ResumeGrace is how long an idempotent request goes on without a caller.
	// Default 10 s.
	ResumeGrace time.Duration
	// LeaveMargin is how long before the end of its instance a request is moved
	// away. Default 500 ms.
	LeaveMargin time.Duration
	// WithoutExport moves requests by computing them again and never with their
	// KV cache.
	WithoutExport bool
	// PoolSubset bounds the upstreams of one pool that this gateway routes to.
	// Default 64.
	PoolSubset int
	// Retry bounds the attempts that follow a failed one, as a share of the
	// requests. Default one in ten, with a burst of 20.
	Retry retry.Config
	// MaxInlineBytes bounds the answers that are kept in the record of a
	// non-idempotent request. Default 8 KiB.
	MaxInlineBytes int
	// Route sets up the choice of upstreams.
	Route route.Config
	// Queue sets up the queue of requests that wait for an upstream.
	Queue admit.Config
}

func (c Config) withDefaults() Config {
	if c.Window.Length <= 0 {
		c.Window = attempt.Window{Length: 5 * time.Second, Margin: 100 * time.Millisecond}
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
	if c.LeaveMargin <= 0 {
		c.LeaveMargin = 500 * time.Millisecond
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
