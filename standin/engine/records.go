package engine

import (
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// records keeps what became of each request, and the latest run of each
// request that can still be asked for.
type records struct {
	requests []*RequestWitness
	byID     map[string]*RequestWitness
	latest   map[string]*run
}

func newRecords() *records {
	return &records{
		byID:   make(map[string]*RequestWitness),
		latest: make(map[string]*run),
	}
}

func (r *records) queued(next *run) {
	id := next.request.RequestID
	witness := r.byID[id]
	if witness == nil {
		witness = &RequestWitness{RequestID: id}
		r.byID[id] = witness
		r.requests = append(r.requests, witness)
	}
	next.witness = witnessOf(next)
	witness.Runs = append(witness.Runs, next.witness)
	r.latest[id] = next
}

func (r *records) started(next *run) {
	r.byID[next.request.RequestID].TimesStarted++
	next.witness.Started = true
	next.witness.StartedAtMillis = time.Now().UnixMilli()
	next.witness.Phase = next.phase
	usage := next.usage()
	next.witness.CachedTokens = usage.CachedTokens
	next.witness.RecomputedTokens = usage.RecomputedTokens
}

func (r *records) ended(last *run) {
	last.witness.EndedAtMillis = time.Now().UnixMilli()
	last.witness.Phase = last.phase
}

// forget makes a run that ended unknown to callers.
func (r *records) forget(last *run) {
	if id := last.request.RequestID; r.latest[id] == last {
		delete(r.latest, id)
	}
}

func witnessOf(r *run) *RunWitness {
	begin := r.request.ResumeText
	answer := Answer(r.request.Model, r.request.Adapter, r.request.Prompt, r.request.ResumeFrom)
	return &RunWitness{
		Model:             r.request.Model,
		Adapter:           r.request.Adapter,
		Priority:          r.request.Priority,
		Phase:             r.phase,
		QueuedAtMillis:    time.Now().UnixMilli(),
		ResumeFrom:        r.request.ResumeFrom,
		ResumeTextDiffers: strings.TrimSpace(begin) != strings.TrimSpace(answer),
	}
}

// unixMillis returns the Unix time of an instant, in milliseconds.
func unixMillis(at, now clock.Instant) int64 {
	return time.Now().Add(-now.Sub(at)).UnixMilli()
}
