package hosttest

import (
	"time"

	"github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// patience bounds the wait for a callback that should come.
const patience = 30 * time.Second

// Pending is the outcome of a call that has been started.
type Pending[T any] struct {
	ring *ring.Ring[Outcome[T]]
}

// NewPending makes an outcome that is yet to come.
func NewPending[T any]() *Pending[T] {
	return &Pending[T]{ring: ring.New[Outcome[T]]("pending", 2)}
}

// Done is the callback.
func (p *Pending[T]) Done(v T, err error) {
	_ = p.ring.Offer(Outcome[T]{Value: v, Err: err})
}

// Err is the callback of a call without a result.
func (p *Pending[T]) Err(err error) {
	_ = p.ring.Offer(Outcome[T]{Err: err})
}

// Wait waits for the callback.
func (p *Pending[T]) Wait() (T, error) {
	outcome, ok, err := p.ring.TakeUntil(patience)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(ok).To(gomega.BeTrue(), "no callback")
	return outcome.Value, outcome.Err
}
