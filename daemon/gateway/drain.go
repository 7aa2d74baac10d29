package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// idlePollInterval is the time between two checks whether all requests have
// ended.
const idlePollInterval = 50 * time.Millisecond

// handOverDivisor sets when open requests are handed over to other gateways:
// after limit/handOverDivisor. Until then they can end by themselves.
const handOverDivisor = 3

// drain is the duty that shuts a gateway down gracefully. New requests are
// refused and their callers told of other gateways. The shutdown ends when all
// open requests have ended and callers have had time to drop this address. A
// second stop ends it at once.
type drain struct {
	inbox      *ring.Ring[drainMessage]
	dispatch   *ring.Ring[dispatchMessage]
	announce   func()
	leaveDelay time.Duration
	limit      time.Duration
	clock      clock.Clock
	log        zerolog.Logger
}

// run returns nil after a graceful shutdown, else an *IncompleteDrainError.
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
		m, isForced, err := d.inbox.TakeUntil(idlePollInterval)
		if err != nil {
			return nil
		}
		isForced = isForced && !m.isReclaim
		passed := d.clock.Now().Sub(start)
		idle := d.isIdle()
		if idle && passed >= min(d.leaveDelay, limit/2) {
			d.log.Info().Dur("took_ms", passed).Msg("drain_ended")
			return nil
		}
		if isForced || passed >= limit {
			return &IncompleteDrainError{Forced: isForced, After: passed}
		}
		if !idle && passed >= limit/handOverDivisor {
			// If the dispatch ring is full, the next round asks again.
			_ = d.dispatch.Offer(handOverRequests{})
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
