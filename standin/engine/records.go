package engine

import (
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// records keeps the audit record of each request for the life of the engine,
// and the latest run of each request until it is forgotten.
type records struct {
	requests []*RequestRecord
	byID     map[string]*RequestRecord
	latest   map[string]*run
}

func newRecords() *records {
	return &records{
		byID:   make(map[string]*RequestRecord),
		latest: make(map[string]*run),
	}
}

// queued records a new run. It becomes the latest run of its request.
func (r *records) queued(execution *run) {
	id := execution.request.RequestID
	record := r.byID[id]
	if record == nil {
		record = &RequestRecord{RequestID: id}
		r.byID[id] = record
		r.requests = append(r.requests, record)
	}
	execution.record = newRunRecord(execution)
	record.Runs = append(record.Runs, execution.record)
	r.latest[id] = execution
}

func (r *records) started(execution *run) {
	r.byID[execution.request.RequestID].TimesStarted++
	execution.record.Started = true
	execution.record.StartedAtMillis = time.Now().UnixMilli()
	execution.record.Phase = execution.phase
	usage := execution.usage()
	execution.record.CachedTokens = usage.CachedTokens
	execution.record.RecomputedTokens = usage.RecomputedTokens
}

func (r *records) ended(execution *run) {
	execution.record.EndedAtMillis = time.Now().UnixMilli()
	execution.record.Phase = execution.phase
}

// forget makes an ended run unavailable for re-attaching.
func (r *records) forget(execution *run) {
	if id := execution.request.RequestID; r.latest[id] == execution {
		delete(r.latest, id)
	}
}

func newRunRecord(r *run) *RunRecord {
	resumed := r.request.ResumeText
	completion := CompletionText(r.request.Model, r.request.Adapter, r.request.Prompt, r.request.ResumeFrom)
	return &RunRecord{
		Model:             r.request.Model,
		Adapter:           r.request.Adapter,
		Priority:          r.request.Priority,
		Phase:             r.phase,
		QueuedAtMillis:    time.Now().UnixMilli(),
		ResumeFrom:        r.request.ResumeFrom,
		ResumeTextDiffers: strings.TrimSpace(resumed) != strings.TrimSpace(completion),
	}
}

// unixMillis converts a monotonic instant to Unix time in milliseconds.
func unixMillis(at, now clock.Instant) int64 {
	return time.Now().Add(-now.Sub(at)).UnixMilli()
}
