package pollers

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// startTimeout bounds the wait for the reply of one poller.
const startTimeout = 10 * time.Second

// probesPerPoller bounds the number of probes. nbio assigns a connection to a
// poller by its descriptor modulo the number of pollers, so reaching every poller
// may take more than one probe for each.
const probesPerPoller = 64

// Await waits until every poller of a started engine is running. It adds a
// socket pair to each poller and waits until the poller has read a byte from it.
//
// It works around a race in nbio: a poller clears its shutdown flag when its loop
// starts. If the engine is stopped before that, the request to stop is lost, the
// poller spins, and Stop waits for it forever.
func Await(engine *nbio.Engine) error {
	count := engine.NPoller
	running := ring.New[int]("pollers", count*probesPerPoller)
	reached := make(map[int]bool, count)
	for i := 0; i < count*probesPerPoller && len(reached) < count; i++ {
		p, err := newProbe()
		if err != nil {
			return &StartError{Err: err}
		}
		poller := p.conn.Hash() % count
		if reached[poller] {
			// Keep it open until Await returns, so that the next probe gets another
			// descriptor.
			defer p.close(false)
			continue
		}
		reached[poller] = true
		defer p.close(true)
		if err := addProbe(engine, p, func() { _ = running.Offer(poller) }); err != nil {
			return &StartError{Err: err}
		}
	}
	return awaitReplies(running, len(reached))
}

// addProbe adds a probe to its poller, which calls reply when it reads the probe's
// byte. The atomic flag orders the writes of this thread before the reads of the
// poller: nbio relies on epoll for that order, which the race detector does not
// know of.
func addProbe(engine *nbio.Engine, p *probe, reply func()) error {
	var added atomic.Bool
	p.conn.OnData(func(*nbio.Conn, []byte) {
		_ = added.Load()
		reply()
	})
	added.Store(true)
	if _, err := engine.AddConn(p.conn); err != nil {
		return err
	}
	return p.send()
}

// awaitReplies waits for the replies of count pollers.
func awaitReplies(running *ring.Ring[int], count int) error {
	for range count {
		_, ok, err := running.TakeUntil(startTimeout)
		if err != nil {
			return &StartError{Err: err}
		}
		if !ok {
			return &StartError{Err: &TimeoutError{Limit: startTimeout}}
		}
	}
	return nil
}
