package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

// RecordLog holds the newest record of each gateway, in the order in which they
// became known. One thread owns it.
type RecordLog struct {
	records map[string]loggedRecord
	last    uint64
}

// NewRecordLog makes an empty log.
func NewRecordLog() *RecordLog {
	return &RecordLog{records: make(map[string]loggedRecord)}
}

// Put adds a record. It reports false and changes nothing if the log holds that
// record or a newer one of the same gateway.
func (l *RecordLog) Put(r cluster.Record) bool {
	return l.put(r, false)
}

// PutFirstHand adds a record that came from the gateway itself.
func (l *RecordLog) PutFirstHand(r cluster.Record) bool {
	return l.put(r, true)
}

func (l *RecordLog) put(r cluster.Record, isFirstHand bool) bool {
	if known, ok := l.records[r.Instance]; ok && !isNewer(r, known.record) {
		return false
	}
	l.last++
	l.records[r.Instance] = loggedRecord{record: r, position: l.last, isFirstHand: isFirstHand}
	return true
}

// isNewer reports whether a record was written after another one of the same
// gateway, or is the same with the counts that the other lacks. Incarnations are not
// ordered, since they come from wall clocks.
func isNewer(r, than cluster.Record) bool {
	if r.Incarnation == than.Incarnation {
		hasCounts := r.Sequence == than.Sequence && than.Windows == nil && r.Windows != nil
		return r.Sequence > than.Sequence || hasCounts
	}
	return r.WrittenAt > than.WrittenAt
}

// Since returns the records that were added after a position, and the position of
// the last one.
func (l *RecordLog) Since(position uint64) ([]cluster.Record, uint64) {
	var list []cluster.Record
	for _, logged := range l.records {
		if logged.position > position {
			list = append(list, logged.record)
		}
	}
	return list, l.last
}

// FirstHandSince returns those of them that came from the gateways themselves.
func (l *RecordLog) FirstHandSince(position uint64) ([]cluster.Record, uint64) {
	var list []cluster.Record
	for _, logged := range l.records {
		if logged.position > position && logged.isFirstHand {
			list = append(list, logged.record)
		}
	}
	return list, l.last
}

// All returns all records, with their ages at an instant of the store's clock.
func (l *RecordLog) All(storeClock time.Duration) []cluster.Record {
	list := make([]cluster.Record, 0, len(l.records))
	for _, logged := range l.records {
		r := logged.record
		if r.WrittenAt != 0 {
			r.Age = max(storeClock-r.WrittenAt, 0)
			r.CountAge = r.Age
		}
		if r.CountedAt != 0 {
			r.CountAge = max(storeClock-r.CountedAt, 0)
		}
		list = append(list, r)
	}
	return list
}

// Keep removes the records that are older than a limit and not among some names.
func (l *RecordLog) Keep(names map[string]bool, storeClock, limit time.Duration) {
	for name, logged := range l.records {
		if !names[name] && storeClock-logged.record.WrittenAt > limit {
			delete(l.records, name)
		}
	}
}
