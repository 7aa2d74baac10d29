package history

import (
	"maps"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Calm ends all faults for the rest of the run.
func (t *Table) Calm() {
	restores := t.faults.Restores
	restores.Every = 0
	t.faults = Faults{Restores: restores}
	t.downEnd = t.world.Now()
}

// Timeline returns the timeline that callers see.
func (t *Table) Timeline() uint64 {
	if t.faults.Restores.NoTimeline {
		return 0
	}
	return t.timeline
}

// Restored counts the restores.
func (t *Table) Restored() int {
	return int(max(t.timeline, 1)) - 1
}

// Restore makes the table what it was some time ago, in the next timeline.
func (t *Table) Restore(age time.Duration) {
	to := t.world.Now().Add(-age)
	t.rows = make(map[row.Key]row.Row)
	for _, c := range t.copies {
		if !c.at.After(to) {
			t.rows = maps.Clone(c.rows)
		}
	}
	t.timeline++
	t.guarded = false
	t.keepCopy()
}

// keepCopy keeps what the table holds now, and forgets the copies that are too old for a
// restore. Those of former timelines stay.
func (t *Table) keepCopy() {
	if t.timeline == 0 {
		return
	}
	oldest := t.world.Now().Add(-t.faults.Restores.Oldest)
	for len(t.copies) > 1 && t.copies[1].at.Before(oldest) {
		t.copies = t.copies[1:]
	}
	t.copies = append(t.copies, tableCopy{at: t.world.Now(), rows: maps.Clone(t.rows)})
}

// isOutdated reports whether a transaction that was requested in a timeline comes after
// one that was requested in the present one.
func (t *Table) isOutdated(requested uint64) bool {
	return t.guarded && requested < t.Timeline() && !t.faults.Restores.NoGuard
}

// outcome returns what the caller is told of a write that was requested in a timeline and
// is answered in the present one: of a newer one it learns nothing, a conflict included,
// since that is one of other versions.
func (t *Table) outcome(err error, requested uint64) error {
	if requested < t.Timeline() {
		return &row.UnknownError{Err: &row.TimelineError{Call: requested, Response: t.Timeline()}}
	}
	return err
}

func (t *Table) scheduleRestore() {
	t.world.After(t.world.Between(0, 2*t.faults.Restores.Every), func() {
		if t.faults.Restores.Every > 0 {
			t.goAway()
			t.scheduleRestore()
		}
	})
}

// goAway restores the table after a moment in which it is away.
func (t *Table) goAway() {
	away := t.world.Between(0, t.faults.Restores.Away)
	t.downEnd = max(t.downEnd, t.world.Now().Add(away))
	t.world.After(away, t.comeBack)
}

// comeBack restores the table from a copy of any age, and may soon do so again.
func (t *Table) comeBack() {
	restores := t.faults.Restores
	if restores.Every == 0 {
		return
	}
	t.Restore(t.world.Between(restores.Youngest, restores.Oldest))
	if t.world.Chance(restores.Repeated) {
		t.world.After(t.world.Between(0, restores.Again), t.comeBack)
	}
}
