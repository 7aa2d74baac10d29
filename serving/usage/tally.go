package usage

import "time"

// retainedWindows is the number of past windows that Trim keeps.
const retainedWindows = 6

// Tally holds the counts of one process by window. It is used by one thread.
type Tally struct {
	windowLength time.Duration
	windows      map[int64]Counts
}

// NewTally makes an empty tally.
func NewTally(windowLength time.Duration) *Tally {
	return &Tally{windowLength: windowLength, windows: make(map[int64]Counts)}
}

// Window returns the number of the window that contains unixTime.
func (t *Tally) Window(unixTime time.Duration) int64 {
	return int64(unixTime / t.windowLength)
}

// End returns the Unix time at which a window ends.
func (t *Tally) End(window int64) time.Duration {
	return time.Duration(window+1) * t.windowLength
}

// Add adds counts to a window.
func (t *Tally) Add(window int64, counts Counts) {
	if t.windows[window] == nil {
		t.windows[window] = make(Counts)
	}
	t.windows[window].Add(counts)
}

// Trim removes the windows that are older than the retained ones at unixNow.
func (t *Tally) Trim(unixNow time.Duration) {
	oldest := t.Window(unixNow) - retainedWindows
	for window := range t.windows {
		if window < oldest {
			delete(t.windows, window)
		}
	}
}

// Windows returns the counts by window. The caller must not change them.
func (t *Tally) Windows() map[int64]Counts {
	return t.windows
}
