package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

const (
	// drainPollInterval is the time between two queries for the number of open
	// requests.
	drainPollInterval = 50 * time.Millisecond
	// drainAcceptTime is how long a stopping process still accepts requests of any
	// length, since callers may use its address until their cached addresses expire.
	drainAcceptTime = time.Second
	// longStreamTime is how long a stopping process accepts streams that may outlast it
	// and that no other gateway can take. Callers count on streams from then on to end.
	longStreamTime = 2500 * time.Millisecond
	// minDrainTime is the least time from the first stop to the end of the process.
	minDrainTime = 2500 * time.Millisecond
	// dispatchTimeout bounds the wait for a reply of dispatch.
	dispatchTimeout = time.Second
	// killMargin is how long before the platform would kill it the process ends by
	// itself.
	killMargin = 300 * time.Millisecond
)

// drain is the duty that stops the process gracefully. The gateway leaves the
// directory at once and closes each connection after its next response. After
// drainAcceptTime it refuses requests that may not end in time. The process ends
// when no request is open, minDrainTime is over and the store has its last record, shortly
// before the platform would kill it, or at a second stop.
type drain struct {
	inbox     *ring.Ring[drainMessage]
	dispatch  *ring.Ring[dispatchMessage]
	cluster   *ring.Ring[clusterMessage]
	directory *ring.Ring[directoryMessage]
	limit     time.Duration
	clock     clock.Clock
	log       zerolog.Logger
}

// run waits for the first stop and then drains the process. It returns nil if no
// request was open at the end, otherwise a *DrainError.
func (d *drain) run() error {
	if _, err := d.inbox.Take(); err != nil {
		return nil
	}
	start := d.clock.Now()
	d.log.Info().Dur("limit_ms", d.limit).Msg("drain_started")
	offerOrLog(d.directory, directoryMessage{isLeaving: true}, d.log)
	offerOrLog(d.cluster, clusterMessage(leaveCluster{}), d.log)
	offerOrLog(d.dispatch, dispatchMessage(closeConnections{}), d.log)
	accepting := true
	for {
		m, isMessage, err := d.inbox.TakeUntil(drainPollInterval)
		if err != nil {
			return nil
		}
		isForced := isMessage && !m.endPublished
		elapsed := d.clock.Now().Sub(start)
		if accepting && elapsed >= drainAcceptTime {
			accepting = false
			stop := stopAccepting{until: start.Add(d.limit - killMargin), longStreamsUntil: start.Add(longStreamTime)}
			offerOrLog(d.dispatch, dispatchMessage(stop), d.log)
		}
		if isForced || elapsed >= d.limit-killMargin {
			return d.end(isForced, elapsed)
		}
		if d.openRequests(elapsed >= minDrainTime) == 0 && elapsed >= minDrainTime {
			isPublished := d.awaitEndPublished(start.Add(d.limit - killMargin))
			d.log.Info().Dur("took_ms", d.clock.Now().Sub(start)).Bool("end_published", isPublished).Msg("drain_ended")
			return nil
		}
	}
}

// awaitEndPublished waits until the store has the record which says that this process ends,
// until an instant at most. It reports false if it has not, or if the process is to stop at
// once.
func (d *drain) awaitEndPublished(until clock.Instant) bool {
	m, ok, err := d.inbox.TakeUntil(max(until.Sub(d.clock.Now()), 0))
	return ok && err == nil && m.endPublished
}

// end ends the requests that are still in progress. It returns nil if there is none,
// otherwise a *DrainError.
func (d *drain) end(isForced bool, elapsed time.Duration) error {
	open := d.ask(func(reply *ring.Ring[int]) dispatchMessage { return endRequests{reply: reply} })
	if !isForced {
		d.awaitEndPublished(d.clock.Now().Add(killMargin / 2))
	}
	if open == 0 {
		return nil
	}
	return &DrainError{Open: open, Forced: isForced, After: elapsed}
}

// openRequests returns the number of requests in progress, or -1 if dispatch does
// not respond. With drainIfNone, dispatch refuses all later requests if the number
// is 0, so that the process can end.
func (d *drain) openRequests(drainIfNone bool) int {
	return d.ask(func(reply *ring.Ring[int]) dispatchMessage {
		return countOpenRequests{reply: reply, drainIfNone: drainIfNone}
	})
}

// ask sends dispatch a message and returns the number with which it replies; -1 if it
// does not respond.
func (d *drain) ask(message func(reply *ring.Ring[int]) dispatchMessage) int {
	reply := ring.New[int]("open", 1)
	if d.dispatch.Offer(message(reply)) != nil {
		return -1
	}
	open, ok, err := reply.TakeUntil(dispatchTimeout)
	if !ok || err != nil {
		return -1
	}
	return open
}
