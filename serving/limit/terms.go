package limit

import (
	"math"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// toleranceShare is the part of overage and slack that is used. The rest covers
	// requests that run twice, and those that reach their upstreams bunched together.
	toleranceShare = 0.9
	// nominalBurst and nominalSlack are the parts of burst and slack that are divided to
	// find the number of holders.
	nominalBurst = 0.6
	nominalSlack = 0.35
	// holderSlack is the part of the slack that each holder has at least. Slack is chosen
	// for requests that are large against a limit.
	holderSlack = 0.25
	// minHolders is the number of holders that there are at least, so that the loss of
	// one leaves another.
	minHolders = 2
	// usualHolders is the number of holders in clusters that are not large. In large ones
	// there is one of gatewaysPerHolder gateways, so that none is asked too often.
	usualHolders      = 3
	gatewaysPerHolder = 16
	// standbyBurst and standbySlack are the parts of burst and slack that gateways use
	// which do not know what the others use.
	standbyBurst = 0.9
	standbySlack = 0.6
)

// terms are the figures that follow from one customer's limit. Amounts are in the
// unit of the limit, and hold for all gateways together.
type terms struct {
	rate float64
	// ceiling is the most that may be used in a window.
	ceiling float64
	// holders is the number of gateways that may admit requests by themselves, if there are
	// so many.
	holders int
	// standbyBurst is what gateways may use at once that do not know of each other.
	standbyBurst float64
	// holderSlack is the part of the slack for each holder.
	holderSlack float64
	// maxOverdraft bounds what one of them may use beyond its share of that for a request
	// that is larger.
	maxOverdraft float64
}

// standbyAtOnce returns what a gateway with a share of the limit may use at once while it
// does not know of the others.
func (t terms) standbyAtOnce(share float64) float64 {
	size := share * t.standbyBurst
	return size + min(size, t.maxOverdraft)
}

func newTerms(c *catalog.Customer, config Config) terms {
	limit := c.Rate*config.Window.Seconds() + c.Burst
	return terms{
		rate:         c.Rate,
		ceiling:      limit*(1+toleranceShare*config.Overage) + toleranceShare*config.Slack,
		holders:      holderCount(c, config),
		standbyBurst: standbyBurst*c.Burst + standbySlack*config.Slack,
		holderSlack:  holderSlack * config.Slack,
		maxOverdraft: maxOverdraft(config),
	}
}

// holdersOf returns the number of holders among a number of gateways.
func (t terms) holdersOf(gateways int) int {
	return min(t.holders, max(usualHolders, gateways/gatewaysPerHolder), gateways)
}

// holderCount returns the number of holders that have room for a request. Without
// slack every gateway is one.
func holderCount(c *catalog.Customer, config Config) int {
	each := holderSlack * config.Slack
	if each <= 0 {
		return math.MaxInt32
	}
	count := (nominalBurst*c.Burst + nominalSlack*config.Slack) / each
	return max(int(min(count, math.MaxInt32)), minHolders)
}

// maxOverdraft returns what a gateway may overdraw its share by.
func maxOverdraft(config Config) float64 {
	if config.Slack <= 0 {
		return math.Inf(1)
	}
	return holderSlack * config.Slack
}
