package usage

import "time"

// keepWindows is the number of past windows that a tally remembers.
const keepWindows = 6

// Tally holds the counts of one process by window. One thread owns it.
type Tally struct {
	length  time.Duration
	windows map[int64]Counts
}

// NewTally makes a tally of windows of a length, which are numbered from the
// start of 1970.
func NewTally(length time.Duration) *Tally {
	return &Tally{length: length, windows: make(map[int64]Counts)}
}

// Window is the number of the window of a point of true time.
func (t *Tally) Window(unix time.Duration) int64 {
	return int64(unix / t.length)
}

// End is the point of true time at which a window ends.
func (t *Tally) End(window int64) time.Duration {
	return time.Duration(window+1) * t.length
}

// Add adds counts to a window.
func (t *Tally) Add(window int64, counts Counts) {
	if t.windows[window] == nil {
		t.windows[window] = make(Counts)
	}
	t.windows[window].Add(counts)
}

// Trim forgets the windows that are long past at a point of true time.
func (t *Tally) Trim(unix time.Duration) {
	oldest := t.Window(unix) - keepWindows
	for window := range t.windows {
		if window < oldest {
			delete(t.windows, window)
		}
	}
}

// Windows returns the counts by window. They must not be changed.
func (t *Tally) Windows() map[int64]Counts {
	return t.windows
}
