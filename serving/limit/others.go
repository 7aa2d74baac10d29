package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// others is the upper bound of what the other gateways have used of a limit, as of an
// instant.
type others struct {
	at   clock.Instant
	used Use // as they have published
	// unknown is what they may have used beyond that, and growth how much that grows per
	// second.
	unknown, growth float64
	// silences are what they may use once their news is not current any more.
	silences []silence
	// holders are the times from which they admit requests as holders.
	holders activation
}

// atMost returns the bound at an instant.
func (o others) atMost(now clock.Instant, window time.Duration) float64 {
	passed := max(now.Sub(o.at), 0)
	sum := o.used.after(passed, window) + o.unknown + o.growth*passed.Seconds()
	for _, s := range o.silences {
		sum += s.after(now, window)
	}
	return sum
}

// atStandby returns the bound of what they have used apart from their shares, at a
// gateway that does not hear of them any more: they went on as holders until they did not
// hear of the others either.
func (o others) atStandby(now clock.Instant, window, newsTime time.Duration) float64 {
	passed := max(now.Sub(o.at), 0)
	if passed >= window+newsTime {
		return 0
	}
	return o.used.after(passed, window) + o.unknown + o.growth*min(passed, newsTime).Seconds()
}

// add adds what is known of a peer. A peer whose news is not current any more may use
// its share of the limit as well, unless it has ended.
func (o *others) add(p Peer, l *limiter, d Division) {
	customer, t, window := l.name, l.terms, l.window.length
	age := p.age(o.at)
	// asHolder is what it may have used beyond what it has published before its news was not
	// current any more.
	asHolder := 0.0
	if use := p.Used[customer]; use.isValid() {
		o.used.add(use.shifted(age-clockError, window))
	}
	if p.Ended {
		return
	}
	reserve, isHolder := p.Reserves[customer]
	if isHolder && reserve.isValid() && age < window+l.announcementTime {
		activeFrom := p.CountedAt.Add(reserve.ActiveIn)
		if age < l.announcementTime {
			o.holders.add(activeFrom)
		}
		// Nothing is used of a reserve that is not active yet.
		if o.at.Add(newsDelay).After(activeFrom) {
			asHolder = reserve.after(age, l.announcementTime)
			o.unknown += asHolder
			if age < l.announcementTime {
				o.growth += reserve.Pace
			}
		}
	}
	o.addSilence(p.silence(t, asHolder, d.CurrentFor))
}

// addSilence adds what a peer may use once its news is not current any more, which may be
// in the future.
func (o *others) addSilence(s silence) {
	for i := range o.silences {
		same := &o.silences[i]
		if s.from.Sub(same.from).Abs() < silenceStep {
			same.from = min(same.from, s.from)
			same.amount += s.amount
			same.rate += s.rate
			same.most += s.most
			same.gateways += s.gateways
			return
		}
	}
	o.silences = append(o.silences, s)
}
