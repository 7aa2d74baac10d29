package ring

import (
	"sync"
	"time"
)

// Ring is a bounded queue with many producers and one consumer.
//
// Invariant: depth + reserved <= capacity. A slot that was set aside by
// Reserve is used only by OfferReserved, so such an offer never fails while
// the ring is open.
type Ring[T any] struct {
	name string
	wake chan struct{}

	mu       sync.Mutex
	slots    []T
	head     int
	depth    int
	reserved int
	peak     int
	offered  uint64
	refused  uint64
	closed   bool
}

// New makes a ring with the given number of slots, at least one.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		name:  name,
		wake:  make(chan struct{}, 1),
		slots: make([]T, max(capacity, 1)),
	}
}

// Offer appends v. It never blocks. It fails with a *FullError when no slot is
// free and with a *ClosedError after Close; in both cases v was not accepted.
func (r *Ring[T]) Offer(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return &ClosedError{Ring: r.name}
	}
	if r.depth+r.reserved >= len(r.slots) {
		r.refused++
		return &FullError{Ring: r.name, Capacity: len(r.slots)}
	}
	r.push(v)
	return nil
}

// Reserve sets one slot aside for a later OfferReserved. It fails like Offer.
func (r *Ring[T]) Reserve() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return &ClosedError{Ring: r.name}
	}
	if r.depth+r.reserved >= len(r.slots) {
		r.refused++
		return &FullError{Ring: r.name, Capacity: len(r.slots)}
	}
	r.reserved++
	return nil
}

// Release gives back a slot that Reserve set aside.
func (r *Ring[T]) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved > 0 {
		r.reserved--
	}
}

// OfferReserved appends v to a slot that Reserve set aside and uses up that
// reservation. It fails only with a *ClosedError, or with a *FullError when
// nothing was reserved and no slot is free.
func (r *Ring[T]) OfferReserved(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return &ClosedError{Ring: r.name}
	}
	if r.reserved > 0 {
		r.reserved--
	}
	if r.depth+r.reserved >= len(r.slots) {
		r.refused++
		return &FullError{Ring: r.name, Capacity: len(r.slots)}
	}
	r.push(v)
	return nil
}

// Take removes and returns the oldest value, and blocks while there is none. After
// Close it returns the remaining values and then a *ClosedError.
func (r *Ring[T]) Take() (T, error) {
	for {
		v, ok, err := r.poll()
		if ok || err != nil {
			return v, err
		}
		<-r.wake
	}
}

// TakeUntil is Take with a timeout: ok is false if there was no value within wait.
// A wait of zero or less does not block.
func (r *Ring[T]) TakeUntil(wait time.Duration) (v T, ok bool, err error) {
	v, ok, err = r.poll()
	if ok || err != nil || wait <= 0 {
		return v, ok, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-r.wake:
			v, ok, err = r.poll()
			if ok || err != nil {
				return v, ok, err
			}
		case <-timer.C:
			return r.poll()
		}
	}
}

// Close rejects all later offers and wakes the consumer, which can still take the
// remaining values.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.signal()
}

// Stats returns a snapshot of the ring.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{
		Name:     r.name,
		Depth:    r.depth,
		Reserved: r.reserved,
		Capacity: len(r.slots),
		Peak:     r.peak,
		Offered:  r.offered,
		Refused:  r.refused,
	}
}

func (r *Ring[T]) push(v T) {
	r.slots[(r.head+r.depth)%len(r.slots)] = v
	r.depth++
	r.peak = max(r.peak, r.depth)
	r.offered++
	// The consumer blocks only on an empty ring, so only the first value wakes it.
	if r.depth == 1 {
		r.signal()
	}
}

func (r *Ring[T]) poll() (v T, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.depth > 0 {
		var zero T
		v = r.slots[r.head]
		r.slots[r.head] = zero
		r.head = (r.head + 1) % len(r.slots)
		r.depth--
		return v, true, nil
	}
	if r.closed {
		return v, false, &ClosedError{Ring: r.name}
	}
	return v, false, nil
}

func (r *Ring[T]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
