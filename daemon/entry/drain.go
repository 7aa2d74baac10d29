package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

const (
	// openWait is the time between two questions whether all requests have ended.
	openWait = 50 * time.Millisecond
	// takeFor is how long a stopping process still takes requests of any length,
	// while callers learn of other addresses.
	takeFor = time.Second
	// leastStop is how long a stopping process stays at least.
	leastStop = 2500 * time.Millisecond
	// stopMargin is the time before the kill at which a process ends by itself.
	stopMargin = 300 * time.Millisecond
)

// drain is the duty that ends the process gracefully: out of the directory at
// once, connections closed between requests, no new requests after a while, and
// an end when all have ended. A second stop ends it at once.
type drain struct {
	inbox     *ring.Ring[drainMessage]
	dispatch  *ring.Ring[dispatchMessage]
	cluster   *ring.Ring[clusterMessage]
	directory *ring.Ring[directoryMessage]
	limit     time.Duration
	clock     clock.Clock
	log       zerolog.Logger
}

// run returns nil after a graceful end, else a *CutError.
func (d *drain) run() error {
	if _, err := d.inbox.Take(); err != nil {
		return nil
	}
	start := d.clock.Now()
	d.log.Info().Dur("limit_ms", d.limit).Msg("drain_started")
	offerOr(d.directory, directoryMessage{isLeaving: true}, d.log)
	offerOr(d.cluster, clusterMessage(leaveCluster{}), d.log)
	offerOr(d.dispatch, dispatchMessage(wrapUp{}), d.log)
	takes := true
	for {
		_, isForced, err := d.inbox.TakeUntil(openWait)
		if err != nil {
			return nil
		}
		passed := d.clock.Now().Sub(start)
		if takes && passed >= takeFor {
			takes = false
			offerOr(d.dispatch, dispatchMessage(stopTaking{until: start.Add(d.limit - stopMargin)}), d.log)
		}
		open := d.open(passed >= leastStop)
		switch {
		case isForced, passed >= d.limit-stopMargin:
			if open == 0 {
				return nil
			}
			return &CutError{Open: open, Forced: isForced, After: passed}
		case open == 0 && passed >= leastStop:
			d.log.Info().Dur("took_ms", passed).Msg("drain_ended")
			return nil
		}
	}
}

// open is the number of requests in progress, -1 if dispatch does not say. After
// the last time that there is none, nothing is sent to an upstream any more.
func (d *drain) open(isLast bool) int {
	reply := ring.New[int]("open", 1)
	if d.dispatch.Offer(askOpen{reply: reply, isLast: isLast}) != nil {
		return -1
	}
	open, ok, err := reply.TakeUntil(time.Second)
	if !ok || err != nil {
		return -1
	}
	return open
}
