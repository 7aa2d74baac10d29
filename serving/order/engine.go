package order

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Engine is the state of one engine as the controller knows it.
type Engine struct {
	// Instance is the ID of the engine's instance.
	Instance string
	// Pool names the pool with its member, as MEMBER/POOL.
	Pool string
	// Address is the engine's IP and port.
	Address string
	// FencingChecked is set if the engine refuses an order with an old fencing
	// number.
	FencingChecked bool
	// Desired is the state that the engine should reach.
	Desired DesiredState
	// State is the last reported state; nil if there is none yet.
	State *State
	// Busy is set while a call to the engine is in progress.
	Busy bool
	// ReadAt is when to read the state next.
	ReadAt clock.Instant
	// MustReadBack is set when the state must be read before the next order,
	// because an earlier order may have taken effect.
	MustReadBack bool
}

const (
	// convergedInterval is the time between two reads of the state of an engine
	// that has reached its desired state.
	convergedInterval = 15 * time.Second
	// convergingInterval is the time between two reads of other engines.
	convergingInterval = time.Second
)

// RecordState records the state that the engine reported, and schedules the next
// read.
func (e *Engine) RecordState(s *State, now clock.Instant) {
	e.State = s
	e.MustReadBack = false
	e.ReadAt = now.Add(convergingInterval)
	if s.IsServing(e.Desired) && s.ReflectsOrder(e.Desired) {
		e.ReadAt = now.Add(convergedInterval)
	}
}

// RecordFailure records a call that failed. If it was an order, it may still have
// taken effect, so the state must be read before the next order.
func (e *Engine) RecordFailure(now clock.Instant) {
	e.MustReadBack = true
	e.ReadAt = now.Add(convergingInterval)
}

// CanServe reports whether the engine can take requests for its models, in any
// version.
func (e *Engine) CanServe() bool {
	return e.State != nil && e.State.CanServe(e.Desired)
}

// IsServing reports whether the engine serves all of its desired state.
func (e *Engine) IsServing() bool {
	return e.State != nil && e.State.IsServing(e.Desired)
}

// needsOrder reports whether the engine should be given an order now. Its state
// must be known.
func (e *Engine) needsOrder() bool {
	return e.State != nil && !e.MustReadBack && !e.Busy && !e.State.ReflectsOrder(e.Desired)
}
