package engine

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// maxLoggedEvents is the number of cache events that are kept.
const maxLoggedEvents = 1 << 16

// eventLog keeps the cache events and publishes them late and with gaps.
type eventLog struct {
	now      func() clock.Instant
	lag      time.Duration
	gapEvery uint64
	seed     uint64
	last     uint64
	list     []loggedEvent
}

func newEventLog(config Config, now func() clock.Instant) *eventLog {
	return &eventLog{
		now:      now,
		lag:      config.CacheLag,
		gapEvery: uint64(max(config.CacheGapEvery, 0)),
		seed:     config.Seed,
	}
}

func (l *eventLog) add(kind EventKind, block, parent Block) {
	l.last++
	e := CacheEvent{Seq: l.last, Kind: kind, Block: block.String(), AtMillis: time.Now().UnixMilli()}
	if kind == EventInsert {
		e.Parent = parent.String()
	}
	if len(l.list) >= maxLoggedEvents {
		l.list = append(l.list[:0], l.list[maxLoggedEvents/2:]...)
	}
	l.list = append(l.list, loggedEvent{at: l.now(), event: e})
}

// after returns the events that are due and have a number above seq.
func (l *eventLog) after(seq uint64) CacheEvents {
	result := CacheEvents{Events: []CacheEvent{}}
	due := l.now().Add(-l.lag)
	end := sort.Search(len(l.list), func(i int) bool { return l.list[i].at.After(due) })
	start := sort.Search(end, func(i int) bool { return l.list[i].event.Seq > seq })
	if end > 0 {
		result.LastSeq = l.list[end-1].event.Seq
	}
	for _, logged := range l.list[start:end] {
		if !l.isDropped(logged.event.Seq) {
			result.Events = append(result.Events, logged.event)
		}
	}
	return result
}

func (l *eventLog) isDropped(seq uint64) bool {
	if l.gapEvery == 0 {
		return false
	}
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], l.seed)
	binary.BigEndian.PutUint64(raw[8:], seq)
	return xxhash.Sum64(raw[:])%l.gapEvery == 0
}
