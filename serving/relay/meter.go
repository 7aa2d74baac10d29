package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// startFill is the part of its burst that a customer may use at a gateway that
// has just started: what it used there before is not known.
const startFill = 0.8

const (
	// slackPart is the part of the slack of a limit that one gateway uses, so that a
	// request which is large against its part of the burst is not refused while the
	// customer is below its limit.
	slackPart = 0.125
	// slackShare is what all gateways together use of it.
	slackShare = 0.8
)

const (
	// windowParts is the number of parts into which the window of a limit is divided.
	windowParts = 16
	// calmUse is the use of a limit, over all gateways, up to which a customer is
	// calm: it may use its even part of a whole window at once.
	calmUse = 0.6
	// fewUse takes the place of calmUse where what a calm customer may use of a
	// window is under fewRequests usual requests, so that chance alone brings many
	// gateways to it.
	fewUse      = 0.9
	fewRequests = 16
	// calmShare is what calm customers may use of that part.
	calmShare = 0.8
	// calmRequests is how many usual requests of a calm customer the level may miss.
	calmRequests = 3
	// costWeight is the weight of one request in the usual cost.
	costWeight = 0.1
	// demandMargin is by how much what a customer asks may be more than was told,
	// while it rises.
	demandMargin = 1.6
)

// meter is this gateway's part of a customer's limit. A level fills steadily, up
// to the part of the burst. With many gateways that is less than one request, so
// that a customer far below its limit may also go below, by a few requests and by
// what it has not used of its part of the window. The level makes up for it.
type meter struct {
	share float64 // of the limit, 0 to 1
	slack float64 // what may be used at once beside the part of the burst
	rate  float64
	burst float64
	level float64
	at    clock.Instant
	// window is the time over which the limit is counted, and whole what a calm
	// customer may use in it.
	window  time.Duration
	whole   float64
	cost    float64 // of a usual request
	parts   [windowParts + 1]float64
	current int64
}

func newMeter(share, slack float64, gateways int, window time.Duration, c *catalog.Customer, now clock.Instant) *meter {
	m := &meter{share: share, slack: slack, at: now, window: max(window, windowParts)}
	m.current = m.number(now)
	m.configure(c, gateways)
	m.level = startFill * m.burst
	return m
}

// configure takes the limit of a customer. A lower one binds at once.
func (m *meter) configure(c *catalog.Customer, gateways int) {
	m.whole = calmShare * (c.Rate*m.window.Seconds() + c.Burst) / float64(gateways)
	m.rate = c.Rate * m.share
	m.burst = c.Burst*m.share + m.slack
	m.level = min(m.level, m.burst)
}

// usedShare is the part of a customer's limit that is in use, given what it asks
// of all gateways a second.
func (m *meter) usedShare(demand float64, c *catalog.Customer) float64 {
	seconds := m.window.Seconds()
	return demandMargin * demand * seconds / max(c.Rate*seconds+c.Burst, 1)
}

// isCalm reports whether a customer whose use is such a share of its limit is far
// enough below it.
func (m *meter) isCalm(used float64) bool {
	if m.whole < fewRequests*m.cost {
		return used <= fewUse
	}
	return used <= calmUse
}

// take takes an amount, or returns how long it takes until there is enough.
func (m *meter) take(amount float64, isCalm bool, now clock.Instant) (time.Duration, bool) {
	m.pass(now)
	if m.cost == 0 {
		m.cost = amount
	}
	m.cost += costWeight * (amount - m.cost)
	isAllowed := isCalm && m.level >= -calmRequests*m.cost && m.used()+amount <= m.whole
	// An amount over the whole burst passes when the meter is full.
	if m.level >= min(amount, m.burst) || isAllowed {
		m.level -= amount
		m.parts[m.current%int64(len(m.parts))] += amount
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
	part := &m.parts[m.current%int64(len(m.parts))]
	*part = max(*part-amount, 0)
}

// used is what was used in the last window.
func (m *meter) used() float64 {
	sum := 0.0
	for _, part := range m.parts {
		sum += part
	}
	return sum
}

// pass lets the time go on to an instant.
func (m *meter) pass(now clock.Instant) {
	m.level = min(m.level+m.rate*now.Sub(m.at).Seconds(), m.burst)
	m.at = now
	number := m.number(now)
	for m.current < number {
		m.current = max(m.current+1, number-int64(len(m.parts)))
		m.parts[m.current%int64(len(m.parts))] = 0
	}
}

// number counts the parts of all time up to an instant.
func (m *meter) number(now clock.Instant) int64 {
	return int64(time.Duration(now) / (m.window / windowParts))
}
