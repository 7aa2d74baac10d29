package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// initialFill is the part of the bucket that is full at the start. The process
// may have restarted, and what the customer used before is not known.
const initialFill = 0.8

const (
	// gatewaySlackShare is the largest part of LimitSlack that one gateway uses.
	// Slack keeps a request that is large against the gateway's share of the burst
	// from being refused while the customer is below its limit.
	gatewaySlackShare = 0.125
	// totalSlackShare is the part of LimitSlack that all gateways use together.
	totalSlackShare = 0.8
)

const (
	// limitBuckets is the number of buckets into which the window is divided.
	limitBuckets = 16
	// headroomUtilization is the utilization, over all gateways, up to which a
	// customer has headroom.
	headroomUtilization = 0.6
	// smallQuotaUtilization replaces headroomUtilization if the quota is below
	// smallQuotaRequests typical requests: with so small a quota, many gateways
	// use it up by chance alone.
	smallQuotaUtilization = 0.9
	smallQuotaRequests    = 16
	// quotaShare is the quota as a part of an even share of what the limit allows
	// in a window.
	quotaShare = 0.8
	// maxOverdraftRequests is the number of typical requests by which a customer
	// with headroom may overdraw the bucket.
	maxOverdraftRequests = 3
	// typicalCostWeight is the weight of one request in the typical cost.
	typicalCostWeight = 0.1
	// demandMargin allows for demand that has risen since it was last reported.
	demandMargin = 1.6
)

// limiter enforces this gateway's share of a customer's limit. It is a token
// bucket that holds the gateway's share of the burst plus some slack.
//
// With many gateways that can be less than one request. A customer that has
// headroom, because its use over all gateways is far below its limit, may
// therefore overdraw the bucket by a few typical requests while its use at this
// gateway stays within the quota. The bucket is refilled from below zero, so the
// overdraft is paid back.
type limiter struct {
	share     float64 // of the limit, 0 to 1
	slack     float64
	rate      float64 // refill per second
	burst     float64 // size of the bucket
	level     float64
	updatedAt clock.Instant
	// window is the time over which the limit is counted.
	window time.Duration
	// quota is what a customer with headroom may use here in a window.
	quota       float64
	typicalCost float64
	buckets     [limitBuckets + 1]float64 // use by time
	current     int64
}

func newLimiter(share, slack float64, gateways int, window time.Duration, c *catalog.Customer, now clock.Instant) *limiter {
	l := &limiter{share: share, slack: slack, updatedAt: now, window: max(window, limitBuckets)}
	l.current = l.bucketNumber(now)
	l.configure(c, gateways)
	l.level = initialFill * l.burst
	return l
}

// configure sets the customer's limit. A lower burst takes effect at once.
func (l *limiter) configure(c *catalog.Customer, gateways int) {
	l.quota = quotaShare * (c.Rate*l.window.Seconds() + c.Burst) / float64(gateways)
	l.rate = c.Rate * l.share
	l.burst = c.Burst*l.share + l.slack
	l.level = min(l.level, l.burst)
}

// utilization returns the part of the limit that a demand per second over all
// gateways uses.
func (l *limiter) utilization(demand float64, c *catalog.Customer) float64 {
	seconds := l.window.Seconds()
	return demandMargin * demand * seconds / max(c.Rate*seconds+c.Burst, 1)
}

// hasHeadroom reports whether the utilization is low enough for an overdraft.
func (l *limiter) hasHeadroom(utilization float64) bool {
	if l.quota < smallQuotaRequests*l.typicalCost {
		return utilization <= smallQuotaUtilization
	}
	return utilization <= headroomUtilization
}

// take takes an amount from the bucket. If the bucket holds too little, it returns
// false and the time until it will hold enough.
func (l *limiter) take(amount float64, hasHeadroom bool, now clock.Instant) (time.Duration, bool) {
	l.advance(now)
	if l.typicalCost == 0 {
		l.typicalCost = amount
	}
	l.typicalCost += typicalCostWeight * (amount - l.typicalCost)
	mayOverdraw := hasHeadroom && l.level >= -maxOverdraftRequests*l.typicalCost && l.used()+amount <= l.quota
	// An amount that exceeds the bucket is admitted when the bucket is full.
	if l.level >= min(amount, l.burst) || mayOverdraw {
		l.level -= amount
		l.buckets[l.current%int64(len(l.buckets))] += amount
		return 0, true
	}
	if l.rate <= 0 {
		return time.Second, false
	}
	missing := min(amount, l.burst) - l.level
	return time.Duration(missing / l.rate * float64(time.Second)), false
}

// refund returns an amount that was taken but not used.
func (l *limiter) refund(amount float64) {
	l.level = min(l.level+amount, l.burst)
	bucket := &l.buckets[l.current%int64(len(l.buckets))]
	*bucket = max(*bucket-amount, 0)
}

// used returns the use in the last window.
func (l *limiter) used() float64 {
	sum := 0.0
	for _, amount := range l.buckets {
		sum += amount
	}
	return sum
}

// advance refills the bucket and clears the counts that have left the window.
func (l *limiter) advance(now clock.Instant) {
	l.level = min(l.level+l.rate*now.Sub(l.updatedAt).Seconds(), l.burst)
	l.updatedAt = now
	number := l.bucketNumber(now)
	for l.current < number {
		l.current = max(l.current+1, number-int64(len(l.buckets)))
		l.buckets[l.current%int64(len(l.buckets))] = 0
	}
}

// bucketNumber returns the number of the bucket for an instant, counted from the
// clock's zero.
func (l *limiter) bucketNumber(now clock.Instant) int64 {
	return int64(time.Duration(now) / (l.window / limitBuckets))
}
