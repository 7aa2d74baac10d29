package rowstore

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

const (
	// fieldEra is the header field of all answers that tells how often the store was
	// restored.
	fieldEra = "Store-Era"
	// maxDrillAge is the age of the oldest copy from which the store can be restored.
	maxDrillAge = 30 * time.Second
)

// foreignTables are those that the operator and the upstreams write, and write again
// after a drill.
var foreignTables = []string{"op", "servers"}

// SetEra makes the store tell in all answers how often it was restored.
func (s *Store) SetEra(era uint64) {
	s.tellsEra = true
	s.enterEra(era)
}

func (s *Store) enterEra(era uint64) {
	s.era = era
	if s.tellsEra {
		s.SetHeader(fieldEra, strconv.FormatUint(era, 10))
	}
}

// Era returns how often the store was restored, counted from SetEra if it was called.
func (s *Store) Era() uint64 { return s.era }

// StartDrill takes the store away and brings it back from an older copy.
func (s *Store) StartDrill(d Drill) {
	copiedAt := s.Now().Add(-d.Age)
	s.SetFaults(host.Faults{Down: true, Mode: host.ModeCut})
	s.After(d.Away, func() {
		s.SetFaults(host.Faults{})
		s.Restore(copiedAt, d.Rewrite)
	})
}

// Restore makes the store what it was at an instant. Versions go back and are given out
// again, and the era rises by one, which the store tells if SetEra was called. What the
// operator and the upstreams have written since is written again after a delay.
func (s *Store) Restore(at clock.Instant, rewrite time.Duration) {
	lost := make(map[rowKey]bool)
	var undone []undo
	for len(s.undos) > 0 && s.undos[len(s.undos)-1].at >= at {
		last := s.undos[len(s.undos)-1]
		s.undos = s.undos[:len(s.undos)-1]
		s.version--
		for _, r := range last.before {
			lost[r.rowKey()] = true
		}
		undone = append(undone, last)
	}
	again := s.foreignRows(lost)
	for _, u := range undone {
		s.takeBack(u)
	}
	s.changes = slices.DeleteFunc(s.changes, func(r Row) bool { return r.Version > s.version })
	s.enterEra(s.era + 1)
	s.dropAhead()
	s.After(rewrite, func() {
		for _, r := range again {
			s.rewrite(r)
		}
	})
}

// takeBack restores the rows of one transaction.
func (s *Store) takeBack(u undo) {
	for _, r := range u.before {
		if r.Version == 0 {
			delete(s.rows, r.rowKey())
			continue
		}
		s.rows[r.rowKey()] = r
	}
}

// foreignRows returns the present rows of the operator and the upstreams among those with
// the given keys; rows that have been deleted have no version.
func (s *Store) foreignRows(keys map[rowKey]bool) []Row {
	var list []Row
	for key := range keys {
		if !slices.Contains(foreignTables, key.table) {
			continue
		}
		r := s.rows[key]
		r.Table, r.Part, r.Key = key.table, key.part, key.key
		list = append(list, r)
	}
	return list
}

// rewrite writes a lost row again, unless its writer has written it since.
func (s *Store) rewrite(r Row) {
	if s.rewritten(r.rowKey()) {
		return
	}
	if r.Version == 0 {
		s.Delete(r.Table, r.Key)
		return
	}
	s.Put(r.Table, r.Key, r.Value)
}

// rewritten reports whether a row was written since the last restore.
func (s *Store) rewritten(key rowKey) bool {
	return slices.ContainsFunc(s.undos, func(u undo) bool {
		return u.era == s.era && slices.ContainsFunc(u.before, func(r Row) bool { return r.rowKey() == key })
	})
}

// dropAhead answers 410 to the feeds that wait for changes after a version that the store
// does not have any more.
func (s *Store) dropAhead() {
	left := s.waiters[:0]
	for _, w := range s.waiters {
		if w.since > s.version {
			s.complete(w, func() { s.failGone(w.call) })
			continue
		}
		left = append(left, w)
	}
	s.waiters = left
}

func (s *Store) failGone(c *host.Call) {
	c.Fail(http.StatusGone, host.FailureNotFound, "history is forgotten")
}

// remember keeps what a transaction replaces, as far back as copies may be.
func (s *Store) remember(tx transaction) {
	u := undo{at: s.Now(), era: s.era}
	for _, r := range slices.Concat(tx.Puts, tx.Delete) {
		before := s.rows[r.rowKey()]
		before.Table, before.Part, before.Key = r.Table, r.Part, r.Key
		u.before = append(u.before, before)
	}
	s.undos = append(s.undos, u)
	oldest := u.at.Add(-maxDrillAge)
	for s.undos[0].at < oldest {
		s.undos = s.undos[1:]
	}
}
