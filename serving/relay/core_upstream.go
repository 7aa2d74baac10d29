package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

const (
	// maxPause bounds the time for which an upstream may ask to get no requests. A
	// longer one is taken for a mistake.
	maxPause = time.Hour
	// pauseSpread is the part of a pause over which callers are spread that have to
	// wait for its end, and minPauseSpread the least time.
	pauseSpread    = 0.25
	minPauseSpread = 200 * time.Millisecond
)

// observeUpstream takes over what an upstream says of itself in the head of a
// response, before anything else is decided on it.
func (c *Core) observeUpstream(m *member, h ResponseHead, now clock.Instant) {
	if h.Misdirected {
		// The response is that of another upstream.
		return
	}
	if h.Draining && !m.draining {
		m.draining = true
		c.emit(UpstreamDraining{Incarnation: roster.IncarnationOf(m.upstream)})
	}
	if h.Status != statusUnavailable {
		return
	}
	switch {
	case h.BadRetryAfter || h.RetryAfter > maxPause:
		if !m.badRetryAfter {
			m.badRetryAfter = true
			c.emit(UpstreamPaused{Upstream: m.upstream.ID, Ignored: true})
		}
	case h.RetryAfter > 0:
		if !now.Before(m.pausedUntil) {
			c.emit(UpstreamPaused{Upstream: m.upstream.ID, For: h.RetryAfter})
		}
		m.pause(now.Add(h.RetryAfter))
	}
}

// pause leaves the upstream out until an instant. A pause is never shortened.
func (m *member) pause(until clock.Instant) {
	m.pausedUntil = max(m.pausedUntil, until)
}

// retryAfter returns when a caller should try again whose request no upstream of the
// pool can take: if all have asked for a pause, when the first one ends, spread by the
// request so that callers don't return together.
func (p *pool) retryAfter(id string, now clock.Instant) time.Duration {
	var shortest time.Duration
	for _, m := range p.list {
		if m.draining || m.misdirected {
			continue
		}
		left := m.pausedUntil.Sub(now)
		if left <= defaultRetryAfter {
			return defaultRetryAfter
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if shortest == 0 {
		return defaultRetryAfter
	}
	spread := max(time.Duration(pauseSpread*float64(shortest)), minPauseSpread)
	return shortest + time.Duration(hashOf(id)%uint64(spread))
}
