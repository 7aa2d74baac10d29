package engine

import (
	"net/http"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// attach streams the run to a caller from the given token on. For an ended run
// it sends what is left and ends the stream.
func (r *run) attach(c *host.Call, from int) {
	c.StartStream(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	for i := from; i < r.nextToken; i++ {
		c.WriteStream(r.chunk(i))
	}
	if !r.phase.isEnded() {
		r.callers = append(r.callers, c)
		return
	}
	if r.phase == PhaseCompleted && from >= r.length {
		c.WriteStream(r.emptyLastChunk())
	}
	r.endStream(c)
}

// emit generates the next token and sends it to all callers.
func (r *run) emit() {
	i := r.nextToken
	r.nextToken++
	r.record.TokensSent++
	r.broadcast(r.chunk(i))
}

// endStreams ends the streams of all callers.
func (r *run) endStreams() {
	for _, c := range r.callers {
		r.endStream(c)
	}
	r.callers = nil
}

// detach removes a caller and reports whether it was the last one.
func (r *run) detach(c *host.Call) bool {
	at := slices.Index(r.callers, c)
	if at < 0 {
		return false
	}
	r.callers = slices.Delete(r.callers, at, at+1)
	return len(r.callers) == 0
}

func (r *run) broadcast(piece []byte) {
	for _, c := range r.callers {
		c.WriteStream(piece)
	}
}

// endStream ends the stream of a caller: with the done event when the run
// completed, else with an error event.
func (r *run) endStream(c *host.Call) {
	if r.phase == PhaseCompleted {
		c.WriteStream(doneEvent)
	} else {
		c.WriteStream(sseEvent(host.Failure{Error: host.FailureDetail{Type: r.phase.failure()}}))
	}
	c.EndStream()
}
