package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// idleWait is the time between two questions whether all requests have ended.
const idleWait = 50 * time.Millisecond

// handOverPart is the part of the limit that requests are given to end by
// themselves, before they are handed over: one of so many.
const handOverPart = 3

// drain is the duty that ends a gateway gracefully: no new requests, other
// addresses for those who come, and an end when all open requests have ended
// and callers have had time to drop this address. A second stop ends it at once.
type drain struct {
	inbox    *ring.Ring[drainMessage]
	dispatch *ring.Ring[dispatchMessage]
	announce func()
	delay    time.Duration
	limit    time.Duration
	clock    clock.Clock
	log      zerolog.Logger
}

// run returns nil after a graceful end, else a *CutError.
func (d *drain) run() error {
	first, err := d.inbox.Take()
	if err != nil {
		return nil
	}
	start := d.clock.Now()
	limit := d.limit
	if first.limit > 0 {
		limit = min(limit, first.limit)
	}
	d.log.Info().Dur("limit_ms", limit).Bool("reclaim", first.isReclaim).Msg("drain_started")
	d.announce()
	for {
		m, isForced, err := d.inbox.TakeUntil(idleWait)
		if err != nil {
			return nil
		}
		isForced = isForced && !m.isReclaim
		passed := d.clock.Now().Sub(start)
		idle := d.isIdle()
		if idle && passed >= min(d.delay, limit/2) {
			d.log.Info().Dur("took_ms", passed).Msg("drain_ended")
			return nil
		}
		if isForced || passed >= limit {
			return &CutError{Forced: isForced, After: passed}
		}
		if !idle && passed >= limit/handOverPart {
			// When dispatch has no room it is asked again the next time.
			_ = d.dispatch.Offer(handOver{})
		}
	}
}

func (d *drain) isIdle() bool {
	reply := ring.New[bool]("idle", 1)
	if d.dispatch.Offer(askIdle{reply: reply}) != nil {
		return false
	}
	idle, ok, err := reply.TakeUntil(time.Second)
	return idle && ok && err == nil
}
