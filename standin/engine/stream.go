package engine

import (
	"net/http"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// attach starts a stream to a caller with the tokens from index from on, and
// ends it when the run has ended.
func (r *run) attach(c *host.Call, from int) {
	c.StartStream(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	for i := from; i < r.next; i++ {
		c.WriteStream(r.chunk(i))
	}
	if !r.phase.isEnded() {
		r.watchers = append(r.watchers, c)
		return
	}
	if r.phase == PhaseCompleted && from >= r.length {
		c.WriteStream(r.lastChunk())
	}
	r.endStream(c)
}

// emit generates the next token.
func (r *run) emit() {
	i := r.next
	r.next++
	r.witness.TokensSent++
	r.write(r.chunk(i))
}

// endStreams ends the streams of all callers.
func (r *run) endStreams() {
	for _, c := range r.watchers {
		r.endStream(c)
	}
	r.watchers = nil
}

// detach forgets a caller and reports whether it was the last.
func (r *run) detach(c *host.Call) bool {
	at := slices.Index(r.watchers, c)
	if at < 0 {
		return false
	}
	r.watchers = slices.Delete(r.watchers, at, at+1)
	return len(r.watchers) == 0
}

func (r *run) write(piece []byte) {
	for _, c := range r.watchers {
		c.WriteStream(piece)
	}
}

func (r *run) endStream(c *host.Call) {
	if r.phase == PhaseCompleted {
		c.WriteStream(doneEvent)
	} else {
		c.WriteStream(sseEvent(host.Failure{Error: host.FailureDetail{Type: r.phase.failure()}}))
	}
	c.EndStream()
}
