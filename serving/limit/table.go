package limit

import (
	"maps"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// failurePause is how long a gateway that did not answer is not asked again.
const failurePause = time.Second

// Table holds the limits of all customers at one gateway. One thread owns it.
type Table struct {
	config   Config
	limiters map[string]*limiter
	division Division
	// isDivided is set once SetDivision was called.
	isDivided bool
	former    *Former
	// isEnded is set once End was called.
	isEnded bool
	// heard is what other holders have last told this gateway directly.
	heard map[string]Peer
	// failedUntil is until when gateways are not asked that have failed to answer.
	failedUntil map[string]clock.Instant
}

// NewTable returns a Table without customers.
func NewTable(config Config) *Table {
	t := &Table{config: config, limiters: make(map[string]*limiter), heard: make(map[string]Peer), failedUntil: make(map[string]clock.Instant)}
	if config.IsAlone {
		t.division.Share = 1
	}
	return t
}

// Configure sets the customers. Those without a limit are left out.
func (t *Table) Configure(customers map[string]*catalog.Customer, now clock.Instant) {
	for name := range t.limiters {
		if c := customers[name]; c == nil || c.Rate <= 0 {
			delete(t.limiters, name)
		}
	}
	for name, c := range customers {
		if c.Rate <= 0 {
			continue
		}
		l := t.limiters[name]
		if l != nil {
			l.terms = newTerms(c, t.config)
		} else {
			l = newLimiter(c, t.config, now)
			t.limiters[name] = l
			t.inheritOne(l, now)
		}
		t.configureStandby(l, now)
		if t.config.IsAlone && !t.isDivided && l.spent == 0 {
			l.standby.level = initialFill * l.standby.size
		}
		t.divideOne(l, now)
	}
}

// Inherit takes over what a former process of this gateway has published. It must be
// called before SetDivision.
func (t *Table) Inherit(former Former, now clock.Instant) {
	former.Age = max(former.Age, 0)
	t.former = &former
	for _, l := range t.limiters {
		t.inheritOne(l, now)
	}
}

// inheritOne takes over what a former process has published of one limit. It counts as
// used now, so that a limit that this process learns of later includes it too.
func (t *Table) inheritOne(l *limiter, now clock.Instant) {
	if t.former == nil {
		return
	}
	used, reserve := t.former.Used[l.name], t.former.Reserves[l.name]
	if t.former.Ended {
		reserve = Reserve{}
	}
	if used.isValid() && reserve.isValid() {
		l.inherit(used, reserve, t.former.Age+clockError, now)
	}
}

// SetDivision sets what is known of the other gateways.
func (t *Table) SetDivision(d Division, now clock.Instant) {
	isFirst := !t.isDivided
	t.division, t.isDivided = d, true
	maps.DeleteFunc(t.heard, func(_ string, p Peer) bool { return now.Sub(p.CountedAt) > t.config.Window })
	for _, l := range t.limiters {
		t.configureStandby(l, now)
		switch {
		case !isFirst || t.config.IsAlone:
		case t.former == nil:
			l.standby.level = initialFill * l.standby.size
		case !t.former.Ended:
			l.advance(now)
			l.inheritStandby(d.Share, t.former.Age-d.CurrentFor)
		}
		t.divideOne(l, now)
	}
}

// configureStandby sets this gateway's share of a limit.
func (t *Table) configureStandby(l *limiter, now clock.Instant) {
	l.standby.configure(t.division.Share*l.terms.rate, t.division.Share*l.terms.standbyBurst, now)
}

// divideOne sums up what is known of the use of one limit by the other gateways, and
// finds its holders.
func (t *Table) divideOne(l *limiter, now clock.Instant) {
	l.announcementTime = t.division.announcementTime()
	l.newsTime = max(t.division.CurrentFor, minNewsTime)
	l.others = others{at: now}
	for _, p := range t.division.Peers {
		l.others.add(t.newest(p, l.name), l, t.division)
	}
	t.chooseHolders(l)
}

// Charge decides on a request of a customer. The holders that were asked before are
// left out. The hash of the request spreads requests over the holders.
func (t *Table) Charge(customer string, amount float64, hash uint64, asked []string, now clock.Instant) Decision {
	l := t.limiters[customer]
	if l == nil {
		return Decision{Outcome: Admitted}
	}
	d := t.decide(l, amount, hash, asked, now)
	if d.Outcome != Admitted {
		d.Facts = t.facts(l, now)
	}
	return d
}

func (t *Table) decide(l *limiter, amount float64, hash uint64, asked []string, now clock.Instant) Decision {
	l.advance(now)
	l.largest = max(l.largest, amount)
	if t.isEnded {
		return Decision{Outcome: Unknown, RetryAfter: minRetryAfter}
	}
	if l.takeCredit(amount, now) {
		return Decision{Outcome: Admitted}
	}
	d := t.admit(l, amount, now)
	if d.Outcome == Admitted || d.Outcome == Exceeded || !t.isCurrent(now) {
		return d
	}
	if now.Before(l.deniedUntil) {
		return Decision{Outcome: Exceeded, RetryAfter: max(l.deniedUntil.Sub(now), minRetryAfter)}
	}
	if h, ok := t.nextHolder(l, hash, asked, now); ok {
		return Decision{Outcome: Ask, Holder: h}
	}
	return d
}

// admit decides on an amount by what this gateway may use itself.
func (t *Table) admit(l *limiter, amount float64, now clock.Instant) Decision {
	switch {
	case t.division.Share <= 0:
		// The others do not know yet that this gateway may use something.
		return Decision{Outcome: Unknown, RetryAfter: minRetryAfter}
	case t.isStandby(l, now):
		return l.admitStandby(amount, t.division.Share, now)
	case l.isActive(now):
		return l.admit(amount, now)
	default:
		return Decision{Outcome: Unknown, RetryAfter: minRetryAfter}
	}
}

// isStandby reports whether this gateway keeps to its share of a limit: while it does
// not know what the others use, or there is no holder yet.
func (t *Table) isStandby(l *limiter, now clock.Instant) bool {
	if !t.isCurrent(now) {
		return true
	}
	holders := l.others.holders
	if l.isHolder {
		holders.add(l.activeFrom())
	}
	return !holders.isDone(now)
}

// isCurrent reports whether this gateway knows what the others use.
func (t *Table) isCurrent(now clock.Instant) bool {
	return t.isDivided && now.Before(t.division.CurrentUntil)
}

// End makes this gateway use nothing of limits any more, since its process ends.
func (t *Table) End() {
	t.isEnded = true
}

// Lend decides on a request that another gateway asks about. What is admitted counts
// as used here.
func (t *Table) Lend(customer string, amount float64, now clock.Instant) Decision {
	l := t.limiters[customer]
	if l == nil || t.isEnded || !isAmount(amount) || amount <= 0 {
		return Decision{Outcome: Unknown, RetryAfter: minRetryAfter}
	}
	l.advance(now)
	l.largest = max(l.largest, min(amount, l.terms.ceiling))
	return t.admit(l, amount, now)
}

// Denied records that holders have denied a request of a customer. If the customer uses
// its whole rate, the next requests are refused without asking for a while. It returns
// the state of the limit.
func (t *Table) Denied(customer string, d Decision, now clock.Instant) Facts {
	l := t.limiters[customer]
	if l == nil {
		return Facts{}
	}
	l.advance(now)
	if d.Outcome == Exceeded || l.isBusy(now) {
		l.deniedUntil = now.Add(min(max(d.RetryAfter, minRetryAfter), maxRetryAfter))
	}
	return t.facts(l, now)
}

// Failed records that a gateway did not answer.
func (t *Table) Failed(instance string, now clock.Instant) {
	t.failedUntil[instance] = now.Add(failurePause)
}

// Refund returns an amount that was charged but not used. What a holder has granted is
// kept for other requests for a while.
func (t *Table) Refund(customer string, amount float64, wasGranted bool, now clock.Instant) {
	l := t.limiters[customer]
	switch {
	case l == nil:
	case wasGranted:
		l.addCredit(amount, now)
	default:
		l.advance(now)
		l.refund(amount)
	}
}

// Facts returns the state of all limits for dumps.
func (t *Table) Facts(now clock.Instant) map[string]Facts {
	out := make(map[string]Facts, len(t.limiters))
	for name, l := range t.limiters {
		l.advance(now)
		f := t.facts(l, now)
		f.Held = t.heldShares(l, now)
		out[name] = f
	}
	return out
}

// heldShares returns what is held back of a limit, by gateway.
func (t *Table) heldShares(l *limiter, now clock.Instant) []HeldShare {
	var list []HeldShare
	for _, p := range t.division.Peers {
		p = t.newest(p, l.name)
		if s := p.silence(l.terms, 0, t.division.CurrentFor); !p.Ended && !now.Before(s.from) {
			list = append(list, HeldShare{
				Instance: p.Instance, Share: p.Share, Amount: s.after(now, l.window.length), NewsAge: now.Sub(p.CountedAt),
			})
		}
	}
	return list
}

func (t *Table) facts(l *limiter, now clock.Instant) Facts {
	f := l.facts(now)
	f.IsStandby = t.isStandby(l, now)
	return f
}
