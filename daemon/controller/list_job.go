package controller

import (
	"encoding/json"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// listJob reads the plans of the last days.
type listJob struct {
	store   *store
	request *storeRequest
	day     int
	records []plan.Record
}

func (j *listJob) begin() {
	day := plan.Day(j.store.now().Add(-time.Duration(j.day) * 24 * time.Hour))
	j.store.list(planPartitionPrefix+day, "", j.listed)
}

func (j *listJob) listed(a *tableAnswer) {
	if a.err != nil {
		j.finish(a.err)
		return
	}
	for _, r := range a.rows {
		var record plan.Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			j.finish(&RowError{Key: r.Key, Err: err})
			return
		}
		j.records = append(j.records, record)
	}
	j.day++
	if j.day < historyDays {
		j.begin()
		return
	}
	latestFirst(j.records)
	j.finish(nil)
}

func (j *listJob) finish(err error) {
	j.store.finish(storeResult{kind: j.request.kind, ticket: j.request.ticket, records: j.records, err: err})
}
