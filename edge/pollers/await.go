package pollers

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// startTimeout bounds the wait for one poller.
const startTimeout = 10 * time.Second

// probesPerPoller bounds the probes made to reach every poller, to which the
// library assigns connections by the number of the descriptor.
const probesPerPoller = 64

// Await waits until every poller of a started engine runs.
//
// A poller clears the request to stop when it begins, so that an engine which
// is stopped before that never ends: its poller spins and Stop waits for it.
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
			// It stays open until the end, so that the next descriptor differs.
			defer p.close(false)
			continue
		}
		reached[poller] = true
		defer p.close(true)
		if err := ask(engine, p, func() { _ = running.Offer(poller) }); err != nil {
			return &StartError{Err: err}
		}
	}
	return collect(running, len(reached))
}

// ask adds a probe to its poller, which answers from its thread. The flag
// orders this thread's writes before the poller's reads.
func ask(engine *nbio.Engine, p *probe, answer func()) error {
	var added atomic.Bool
	p.conn.OnData(func(*nbio.Conn, []byte) {
		_ = added.Load()
		answer()
	})
	added.Store(true)
	if _, err := engine.AddConn(p.conn); err != nil {
		return err
	}
	return p.send()
}

func collect(running *ring.Ring[int], count int) error {
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
