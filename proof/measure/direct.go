package measure

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// direct times an answer that comes straight from an engine. It implements
// engine.Receiver.
type direct struct {
	start  time.Time
	sample Sample
	ended  *ring.Ring[Sample]
}

func newDirect() *direct {
	return &direct{start: time.Now(), ended: ring.New[Sample]("direct", 1)}
}

// Tokens implements engine.Receiver.
func (d *direct) Tokens(engine.Tokens) bool {
	if d.sample.First == 0 {
		d.sample.First = time.Since(d.start)
	}
	return true
}

// Completed implements engine.Receiver.
func (d *direct) Completed(engine.Tokens, dispatch.Usage) {
	d.sample.Whole = time.Since(d.start)
	_ = d.ended.Offer(d.sample)
}

// Replied implements engine.Receiver.
func (d *direct) Replied(*request.ServiceReply) { _ = d.ended.Offer(d.sample) }

// Failed implements engine.Receiver.
func (d *direct) Failed(engine.Tokens, dispatch.Failure) { _ = d.ended.Offer(Sample{}) }
