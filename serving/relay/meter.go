package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// startFill is the part of its burst that a customer may use at a gateway that
// has just started: what it used there before is not known.
const startFill = 0.8

// slackShare is the part of the slack of a limit that all gateways together use,
// so that a request which is large against a gateway's part of the burst is not
// refused while the customer is below its limit.
const slackShare = 0.5

// meter is this gateway's part of a customer's limit.
type meter struct {
	share float64 // of the limit, 0 to 1
	slack float64 // what may be used at once beside the part of the burst
	rate  float64
	burst float64
	level float64
	at    clock.Instant
}

func newMeter(share, slack float64, c *catalog.Customer, now clock.Instant) *meter {
	m := &meter{share: share, slack: slack, at: now}
	m.configure(c)
	m.level = startFill * m.burst
	return m
}

// configure takes the limit of a customer. A lower one binds at once.
func (m *meter) configure(c *catalog.Customer) {
	m.rate = c.Rate * m.share
	m.burst = c.Burst*m.share + m.slack
	m.level = min(m.level, m.burst)
}

// take takes an amount, or returns how long it takes until there is enough.
func (m *meter) take(amount float64, now clock.Instant) (time.Duration, bool) {
	m.level = min(m.level+m.rate*now.Sub(m.at).Seconds(), m.burst)
	m.at = now
	// An amount over the whole burst passes when the meter is full.
	if m.level >= min(amount, m.burst) {
		m.level -= amount
		return 0, true
	}
	if m.rate <= 0 {
		return time.Second, false
	}
	missing := min(amount, m.burst) - m.level
	return time.Duration(missing / m.rate * float64(time.Second)), false
}

// giveBack returns what was not used.
func (m *meter) giveBack(amount float64) {
	m.level = min(m.level+amount, m.burst)
}
