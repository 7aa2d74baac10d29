package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// idleWait is the time between two questions whether all requests have ended.
const idleWait = 50 * time.Millisecond

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
	if _, err := d.inbox.Take(); err != nil {
		return nil
	}
	start := d.clock.Now()
	d.log.Info().Msg("drain_started")
	d.announce()
	for {
		_, again, err := d.inbox.TakeUntil(idleWait)
		if err != nil {
			return nil
		}
		now := d.clock.Now()
		idle := d.isIdle()
		if idle && now.Sub(start) >= d.delay {
			d.log.Info().Dur("took", now.Sub(start)).Msg("drain_ended")
			return nil
		}
		if again || now.Sub(start) >= d.limit {
			return &CutError{Forced: again, After: now.Sub(start)}
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
