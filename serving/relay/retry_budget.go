package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// retryBuckets is the number of buckets into which the window is divided.
const retryBuckets = 10

// retryBudgetShare is the part of its retry budget that a gateway uses. The rest
// covers gateways that restart with empty counts and gateways that the others do
// not know of yet.
const retryBudgetShare = 0.6

// retryBudget limits retries at a service to a share of the requests plus a fixed
// number in a sliding window. The limit holds over all gateways: each divides the
// fixed number by the number of gateways.
type retryBudget struct {
	ratio   float64
	extra   int
	window  time.Duration
	buckets [retryBuckets + 1]retryBucket
	current int64
}

// recordRequest counts the first send of a request.
func (b *retryBudget) recordRequest(now clock.Instant) {
	b.bucket(now).requests++
}

// takeRetry counts a retry and returns true if the budget allows one.
func (b *retryBudget) takeRetry(gateways int, now clock.Instant) bool {
	bucket := b.bucket(now)
	requests, retries := 0, 0
	for i := range b.buckets {
		requests += b.buckets[i].requests
		retries += b.buckets[i].retries
	}
	allowed := retryBudgetShare * (b.ratio*float64(requests) + float64(b.extra)/float64(max(gateways, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	bucket.retries++
	return true
}

// bucket clears the buckets that have left the window and returns the current one.
func (b *retryBudget) bucket(now clock.Instant) *retryBucket {
	number := int64(time.Duration(now) / max(b.window/retryBuckets, 1))
	for b.current < number {
		b.current = max(b.current+1, number-int64(len(b.buckets)))
		b.buckets[b.current%int64(len(b.buckets))] = retryBucket{}
	}
	return &b.buckets[b.current%int64(len(b.buckets))]
}
