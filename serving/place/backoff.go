package place

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// firstBackoff is the delay after the first refused start of an option.
	firstBackoff = 5 * time.Second
	// maxBackoff is the longest delay.
	maxBackoff = 5 * time.Minute
	// reclaimWaveBackoff is how long no reclaimable instance is started in a
	// failure domain after the last notice of a wave of reclaims.
	reclaimWaveBackoff = 2 * time.Minute
)

// Backoff delays the next start of options whose starts were refused, and of
// reclaimable options in failure domains with a wave of reclaims. It is not safe
// for concurrent use: one thread owns it.
type Backoff struct {
	options map[Option]*delay
	// waves holds the end of the delay by failure domain.
	waves map[string]clock.Instant
}

// NewBackoff returns a Backoff without delays.
func NewBackoff() *Backoff {
	return &Backoff{options: make(map[Option]*delay), waves: make(map[string]clock.Instant)}
}

// RecordRefusal records a refused start. Each further one doubles the delay, up
// to maxBackoff.
func (b *Backoff) RecordRefusal(o Option, now clock.Instant) {
	d, ok := b.options[o]
	if !ok {
		d = &delay{wait: firstBackoff}
		b.options[o] = d
	} else {
		d.wait = min(2*d.wait, maxBackoff)
	}
	d.until = now.Add(d.wait)
}

// RecordSuccess records an accepted start, which ends the option's delay.
func (b *Backoff) RecordSuccess(o Option) {
	delete(b.options, o)
}

// RecordReclaimWave records a wave of reclaims in a failure domain. It returns
// false if the delay of an earlier one has not ended yet.
func (b *Backoff) RecordReclaimWave(domain string, now clock.Instant) bool {
	isNew := !now.Before(b.waves[domain])
	b.waves[domain] = now.Add(reclaimWaveBackoff)
	return isNew
}

// Unavailable returns which of the options can't be started now.
func (b *Backoff) Unavailable(options []Option, now clock.Instant) map[Option]bool {
	unavailable := map[Option]bool{}
	for _, o := range options {
		d, ok := b.options[o]
		isDelayed := ok && now.Before(d.until)
		isWave := o.Reclaimable && now.Before(b.waves[o.FailureDomain])
		if isDelayed || isWave {
			unavailable[o] = true
		}
	}
	return unavailable
}
