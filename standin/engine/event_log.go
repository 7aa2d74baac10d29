package engine

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// maxLoggedEvents bounds the log. A full log loses its older half.
const maxLoggedEvents = 1 << 16

// eventLog records the cache events. It publishes each after a lag and drops
// some, so that clients must handle stale views and gaps.
type eventLog struct {
	now      func() clock.Instant
	lag      time.Duration
	gapEvery uint64
	seed     uint64
	lastSeq  uint64
	events   []loggedEvent
}

func newEventLog(config Config, now func() clock.Instant) *eventLog {
	return &eventLog{
		now:      now,
		lag:      config.CacheLag,
		gapEvery: uint64(max(config.CacheGapEvery, 0)),
		seed:     config.Seed,
	}
}

// add records an event. The parent is ignored for an evict.
func (l *eventLog) add(kind EventKind, block, parent Block) {
	l.lastSeq++
	e := CacheEvent{Seq: l.lastSeq, Kind: kind, Block: block.String(), AtMillis: time.Now().UnixMilli()}
	if kind == EventInsert {
		e.Parent = parent.String()
	}
	if len(l.events) >= maxLoggedEvents {
		l.events = append(l.events[:0], l.events[maxLoggedEvents/2:]...)
	}
	l.events = append(l.events, loggedEvent{at: l.now(), event: e})
}

// after returns the published events with a number above seq.
func (l *eventLog) after(seq uint64) CacheEvents {
	result := CacheEvents{Events: []CacheEvent{}}
	due := l.now().Add(-l.lag)
	end := sort.Search(len(l.events), func(i int) bool { return l.events[i].at.After(due) })
	start := sort.Search(end, func(i int) bool { return l.events[i].event.Seq > seq })
	if end > 0 {
		result.LastSeq = l.events[end-1].event.Seq
	}
	for _, logged := range l.events[start:end] {
		if !l.isDropped(logged.event.Seq) {
			result.Events = append(result.Events, logged.event)
		}
	}
	return result
}

// isDropped decides by a hash of the seed and the number, so that the same seed
// drops the same events.
func (l *eventLog) isDropped(seq uint64) bool {
	if l.gapEvery == 0 {
		return false
	}
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], l.seed)
	binary.BigEndian.PutUint64(raw[8:], seq)
	return xxhash.Sum64(raw[:])%l.gapEvery == 0
}
