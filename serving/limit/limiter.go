package limit

import (
	"math"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// minAnnouncementTime is the least time for which some gateway may go by an
	// announcement after a newer one, and for which a gateway goes on at its pace after its
	// last one.
	minAnnouncementTime = 3600 * time.Millisecond
	// announcementInterval is the longest time between two announcements.
	announcementInterval = 1800 * time.Millisecond
	// minNewsTime is the least time for which news of the other gateways is current.
	minNewsTime = 2520 * time.Millisecond
	// clockError is the most by which two gateways' clocks of the store differ.
	clockError = 200 * time.Millisecond
	// paceFactor is the pace over the present use. minPace and maxPace bound it for all
	// holders together, in rates of the limit.
	paceFactor = 2.0
	minPace    = 1.1
	maxPace    = 1.6
	// minRestart is the least part of the ceiling that is reserved for a restart, and
	// restartRequests the least number of the largest requests.
	minRestart      = 0.02
	restartRequests = 2
	// reserveShare is the part of the rest that the holders may use at once.
	reserveShare = 0.3
	// maxReserveShare is the part that they may use at once if requests are large.
	maxReserveShare = 0.8
	// newsDelay is the usual time until a use is known to the other holders, and some more.
	newsDelay = time.Second
	// busyShare is the part of the rate from which a customer is expected to be denied
	// by all holders if it is by some.
	busyShare = 0.95
	// creditTime is how long an amount that a holder has granted can be used by another
	// request.
	creditTime = 500 * time.Millisecond
	// initialFill is the part of the standby bucket that is full at the start of a
	// process that has no former one.
	initialFill = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which a caller should try
	// again whose customer exceeds its limit: another gateway may admit it sooner.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// limiter holds this gateway's part in the limit of one customer.
type limiter struct {
	name   string
	terms  terms
	window window
	// spent is the total of what this gateway has used.
	spent float64
	// largest is the largest amount that a request of the customer asked for.
	largest float64
	// announcements are those of the last announcementTime, the oldest first. That is the
	// time for which some gateway may go by one after a newer one, and newsTime the time
	// for which what is known of the others is current.
	announcements              []announcement
	announcementTime, newsTime time.Duration
	// restart bounds what may be used before the store has a newer record.
	restart restartBound
	others  others
	// holders are the other holders. isHolder is set if this gateway is one.
	holders  []Holder
	isHolder bool
	// standby is this gateway's share, for when it does not know what the others use,
	// and standbyUse what was used of it.
	standby    bucket
	standbyUse window
	// credit was granted by a holder and not used, until creditUntil.
	credit      float64
	creditUntil clock.Instant
	// deniedUntil is until when no holder is asked, since one has just denied.
	deniedUntil clock.Instant
}

func newLimiter(c *catalog.Customer, config Config, now clock.Instant) *limiter {
	l := &limiter{
		name:       c.Name,
		terms:      newTerms(c, config),
		window:     newWindow(config.Window, now),
		standbyUse: newWindow(config.Window, now),
		standby:    bucket{at: now},
		// Until this process has announced something, the others expect nothing.
		announcements:    []announcement{{at: now}},
		announcementTime: minAnnouncementTime,
		newsTime:         minNewsTime,
	}
	return l
}

// advance brings the counts up to an instant.
func (l *limiter) advance(now clock.Instant) {
	l.window.advance(now)
	l.standbyUse.advance(now)
	l.standby.advance(now)
}

// available returns what this gateway may use as a holder: what is left under each
// announcement by which another gateway may go.
func (l *limiter) available(now clock.Instant) float64 {
	least := math.Inf(1)
	for i, a := range l.announcements {
		if i+1 == len(l.announcements) || now.Sub(l.announcements[i+1].at) < l.announcementTime {
			least = min(least, a.left(l.spent, now, l.announcementTime+announcementInterval))
		}
	}
	if l.restart.isInForce(now) {
		least = min(least, l.restart.left(l.spent))
	}
	return least
}

// isActive reports whether this gateway admits requests as a holder.
func (l *limiter) isActive(now clock.Instant) bool {
	return l.isHolder && !now.Before(l.activeFrom())
}

// activeFrom returns when no other gateway goes by an announcement any more according to
// which this gateway is no holder.
func (l *limiter) activeFrom() clock.Instant {
	var from clock.Instant
	for i, a := range l.announcements {
		if a.pace > 0 {
			continue
		}
		if i+1 == len(l.announcements) {
			return a.at.Add(l.announcementTime)
		}
		from = l.announcements[i+1].at.Add(l.announcementTime)
	}
	return from
}

// admit decides on an amount as a holder.
func (l *limiter) admit(amount float64, now clock.Instant) Decision {
	if excess := l.window.sum + l.others.atMost(now, l.window.length) + amount - l.terms.ceiling; excess > 0 {
		return Decision{Outcome: Exceeded, RetryAfter: retryAfter(excess, l.terms.rate)}
	}
	available := l.available(now)
	if available < amount {
		return Decision{Outcome: Empty, RetryAfter: retryAfter(amount-available, l.announcements[len(l.announcements)-1].pace)}
	}
	l.spend(amount)
	return Decision{Outcome: Admitted}
}

// admitStandby decides on an amount while this gateway does not know what the others
// use: it has its share of what is left of the limit by what they last published.
func (l *limiter) admitStandby(amount, share float64, now clock.Instant) Decision {
	known := l.window.sum - l.standbyUse.sum + l.others.atStandby(now, l.window.length, l.newsTime)
	left := share*max(l.terms.ceiling-known, 0) - l.standbyUse.sum
	// A bucket that is smaller than the request may be overdrawn when it is full.
	if needed := min(amount, l.standby.size); l.standby.level < needed {
		return Decision{Outcome: Empty, RetryAfter: retryAfter(needed-l.standby.level, l.standby.rate)}
	}
	if left < amount || amount > l.terms.standbyAtOnce(share) {
		return Decision{Outcome: Exceeded, RetryAfter: retryAfter(amount-left, l.standby.rate)}
	}
	l.standby.level -= amount
	l.standbyUse.add(amount, 0)
	l.spend(amount)
	return Decision{Outcome: Admitted}
}

// isBusy reports whether the customer uses its whole rate.
func (l *limiter) isBusy(now clock.Instant) bool {
	used := l.window.sum + l.others.used.after(max(now.Sub(l.others.at), 0), l.window.length)
	return used >= busyShare*l.terms.rate*l.window.length.Seconds()
}

func (l *limiter) spend(amount float64) {
	l.window.add(amount, 0)
	l.spent += amount
}

// refund takes back an amount that was admitted here but not used.
func (l *limiter) refund(amount float64) {
	l.window.remove(amount)
	l.spent -= amount
}

// takeCredit uses up credit for an amount. It reports false if there is too little.
func (l *limiter) takeCredit(amount float64, now clock.Instant) bool {
	if !now.Before(l.creditUntil) || l.credit < amount {
		return false
	}
	l.credit -= amount
	return true
}

// addCredit keeps an amount that a holder has granted and that was not used.
func (l *limiter) addCredit(amount float64, now clock.Instant) {
	if !now.Before(l.creditUntil) {
		l.credit = 0
	}
	l.credit += amount
	l.creditUntil = now.Add(creditTime)
}

// reserve returns what the last announcement says, as of now.
func (l *limiter) reserve(now clock.Instant) Reserve {
	last := l.announcements[len(l.announcements)-1]
	return Reserve{
		Amount:   last.reserve,
		Pace:     last.pace,
		ActiveIn: max(l.activeFrom().Sub(now), -l.announcementTime),
		Restart:  l.restartReserve(),
	}
}

// restartReserve returns what is reserved for a restart: the use at the present rate, but
// enough for some requests.
func (l *limiter) restartReserve() float64 {
	least := max(minRestart*l.terms.ceiling/float64(len(l.holders)+1), restartRequests*l.largest, l.terms.holderSlack)
	return max(l.window.rate()*restartTime.Seconds(), least)
}

// announce makes the announcement that goes with the use up to now.
func (l *limiter) announce(now clock.Instant) {
	a := announcement{at: now, spent: l.spent}
	if l.isHolder {
		holders := float64(len(l.holders) + 1)
		known := l.window.sum + l.others.used.after(max(now.Sub(l.others.at), 0), l.window.length)
		left := max(l.terms.ceiling-known, 0) / holders
		a.pace = min(max(paceFactor*l.window.rate(), minPace*l.terms.rate/holders), maxPace*l.terms.rate/holders)
		left = max(left-a.pace*newsDelay.Seconds(), 0)
		a.reserve = max(reserveShare*left, min(l.largest, maxReserveShare*left))
		// What became available for a large request is not given up between announcements.
		a.reserve = max(a.reserve, min(l.largest, l.available(now)))
	}
	kept := l.announcements[:0]
	for i, old := range l.announcements {
		// An announcement may be the newest that some gateway knows until the next one has
		// reached all.
		if i+1 == len(l.announcements) || now.Sub(l.announcements[i+1].at) < l.announcementTime {
			kept = append(kept, old)
		}
	}
	l.announcements = append(kept, a)
}

// inherit counts what a former process of this gateway may have used: what it has
// published, and what it may have used since. The others expect no more of this process
// than of the former one.
func (l *limiter) inherit(used Use, reserve Reserve, age time.Duration, now clock.Instant) {
	l.advance(now)
	for i, amount := range used {
		l.window.add(amount, age+time.Duration(i)*l.window.length/quarters)
	}
	if age < restartTime {
		l.window.add(reserve.Restart, 0)
	} else {
		l.window.add(reserve.after(age, l.announcementTime), 0)
	}
	l.announcements = []announcement{{at: now, spent: l.spent, pace: reserve.Pace}}
}

// inheritStandby counts what a former process of this gateway may have used of its share,
// if it did not hear of the others for some time before its end.
func (l *limiter) inheritStandby(share float64, silence time.Duration) {
	if silence > 0 {
		l.window.add(l.terms.standbyAtOnce(share)+share*l.terms.rate*min(silence, l.window.length).Seconds(), 0)
	}
}

// facts returns the state for logs and dumps.
func (l *limiter) facts(now clock.Instant) Facts {
	f := Facts{
		Ceiling:      l.terms.ceiling,
		Used:         l.window.sum,
		UsedByOthers: l.others.used.after(max(now.Sub(l.others.at), 0), l.window.length),
		IsHolder:     l.isHolder,
		Holders:      len(l.holders),
		NewsAge:      now.Sub(l.others.at),
	}
	f.Unknown = l.others.atMost(now, l.window.length) - f.UsedByOthers
	for _, s := range l.others.silences {
		if !now.Before(s.from) {
			f.Silent += s.after(now, l.window.length)
			f.SilentGateways += s.gateways
		}
	}
	if l.isHolder {
		f.Holders++
		f.Available = l.available(now)
	}
	return f
}

// retryAfter returns the time in which an amount becomes available at a rate.
func retryAfter(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min(amount/rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
