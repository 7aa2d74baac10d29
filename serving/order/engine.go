package order

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Engine is what is known of one engine.
type Engine struct {
	// Instance names the instance.
	Instance string
	// Pool names the pool with its member, as MEMBER/POOL.
	Pool string
	// Address is its IP and port.
	Address string
	// FencingChecked says that it refuses an order with an old fencing number.
	FencingChecked bool
	// Wanted is the state that it should come to.
	Wanted Wanted
	// State is what it reported last; nil until it has.
	State *State
	// Busy is true while a call to it is in progress.
	Busy bool
	// ReadAt is when its state is to be read next.
	ReadAt clock.Instant
	// ReadBack is set when the state must be read before an order may be given.
	ReadBack bool
}

const (
	// settledInterval is the time between two reads of an engine that serves
	// what is wanted.
	settledInterval = 15 * time.Second
	// unsettledInterval is the same for one that does not yet.
	unsettledInterval = time.Second
)

// Take takes a state that the engine reported.
func (e *Engine) Take(s *State, now clock.Instant) {
	e.State = s
	e.ReadBack = false
	e.ReadAt = now.Add(unsettledInterval)
	if s.IsServing(e.Wanted) && s.IsOrdered(e.Wanted) {
		e.ReadAt = now.Add(settledInterval)
	}
}

// Fail takes note of a call without an answer: an order may have taken effect,
// so the state is read before the next one.
func (e *Engine) Fail(now clock.Instant) {
	e.ReadBack = true
	e.ReadAt = now.Add(unsettledInterval)
}

// CanServe reports whether the engine may take requests.
func (e *Engine) CanServe() bool {
	return e.State != nil && e.State.CanServe(e.Wanted)
}

// IsServing reports whether the engine serves what is wanted.
func (e *Engine) IsServing() bool {
	return e.State != nil && e.State.IsServing(e.Wanted)
}

// needsOrder reports whether an order should be given.
func (e *Engine) needsOrder() bool {
	return e.State != nil && !e.ReadBack && !e.Busy && !e.State.IsOrdered(e.Wanted)
}
