package controller

import (
	"encoding/json"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// listJob reads the plans of the last historyDays days, one day per call.
type listJob struct {
	store   *store
	request *storeRequest
	day     int
	records []plan.Record
}

func (j *listJob) listDay() {
	day := plan.Day(j.store.now().Add(-time.Duration(j.day) * 24 * time.Hour))
	j.store.list(planPartitionPrefix+day, "", j.onRows)
}

func (j *listJob) onRows(found *tableResult) {
	if found.err != nil {
		j.finish(found.err)
		return
	}
	for _, r := range found.rows {
		var record plan.Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			j.finish(&RowError{Key: r.Key, Err: err})
			return
		}
		j.records = append(j.records, record)
	}
	j.day++
	if j.day < historyDays {
		j.listDay()
		return
	}
	sortLatestFirst(j.records)
	j.finish(nil)
}

func (j *listJob) finish(err error) {
	j.store.finish(storeResult{kind: j.request.kind, requestID: j.request.requestID, records: j.records, err: err})
}
