package place

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// firstBackoff is the wait after the first refused start of an option.
	firstBackoff = 5 * time.Second
	// maxBackoff is the longest wait.
	maxBackoff = 5 * time.Minute
	// waveBackoff is the wait for reclaimable instances of a failure domain in
	// which a wave of reclaims goes on.
	waveBackoff = 2 * time.Minute
)

// Backoff keeps the options whose starts were refused from being tried again
// too soon. It is owned by one thread.
type Backoff struct {
	options map[Option]*delay
	waves   map[string]clock.Instant
}

// NewBackoff makes a backoff that delays nothing.
func NewBackoff() *Backoff {
	return &Backoff{options: make(map[Option]*delay), waves: make(map[string]clock.Instant)}
}

// Refuse notes a refused start. Each further one doubles the wait.
func (b *Backoff) Refuse(o Option, now clock.Instant) {
	d, ok := b.options[o]
	if !ok {
		d = &delay{wait: firstBackoff}
		b.options[o] = d
	} else {
		d.wait = min(2*d.wait, maxBackoff)
	}
	d.until = now.Add(d.wait)
}

// Succeed notes a start that was accepted.
func (b *Backoff) Succeed(o Option) {
	delete(b.options, o)
}

// Wave notes a wave of reclaims in a failure domain. It returns false if one
// was going on already.
func (b *Backoff) Wave(domain string, now clock.Instant) bool {
	isNew := !now.Before(b.waves[domain])
	b.waves[domain] = now.Add(waveBackoff)
	return isNew
}

// Refused returns which of the options can't be started now.
func (b *Backoff) Refused(options []Option, now clock.Instant) map[Option]bool {
	refused := map[Option]bool{}
	for _, o := range options {
		d, ok := b.options[o]
		isDelayed := ok && now.Before(d.until)
		isWave := o.Reclaimable && now.Before(b.waves[o.FailureDomain])
		if isDelayed || isWave {
			refused[o] = true
		}
	}
	return refused
}
