package cluster

import "time"

// reading is what the records that were read at once tell of how old they are.
type reading struct {
	// newestAge is the age of the newest record, and timeline the one in which it was
	// written.
	newestAge time.Duration
	timeline  uint64
}

// newReading returns what some records tell. Records without a time of their writing tell
// nothing.
func newReading(records []Record) reading {
	var r reading
	isFirst := true
	for _, record := range records {
		if record.WrittenAt == 0 && record.Age == 0 {
			continue
		}
		isNewer := record.Timeline > r.timeline || record.Timeline == r.timeline && record.Age < r.newestAge
		if isFirst || isNewer {
			r.newestAge, r.timeline = record.Age, record.Timeline
		}
		isFirst = false
	}
	return r
}

// silence returns for how long the writer of a record had written nothing when the newest
// record was written. The time since then says nothing of it: all may have been restarted,
// or the store been away. Nor does the age of a record from a former timeline: the store
// may have lost what its writer wrote after it.
func (r reading) silence(record Record) time.Duration {
	if record.Timeline != r.timeline {
		return 0
	}
	return max(record.Age-r.newestAge, 0)
}
