package usage

import (
	"maps"
	"time"
)

const (
	// ledgerWindows is the number of windows of which a Ledger remembers the counts.
	ledgerWindows = 16
	// clockMargin is how far the Unix times of two processes may differ.
	clockMargin = 2 * time.Second
)

// Ledger decides for which windows a holder may report counts of its own, if the store
// that fixes the counts of each window may have lost some. Two reports of a window must
// have the same counts. It is used by one thread.
type Ledger struct {
	windowLength time.Duration
	settleTime   time.Duration
	fixed        map[int64]Counts
	termStart    time.Duration
	doubtUntil   time.Duration // 0 if nothing is in doubt
}

// NewLedger makes an empty ledger. Counts are fixed settleTime after the end of their
// window at the earliest.
func NewLedger(windowLength, settleTime time.Duration) *Ledger {
	return &Ledger{windowLength: windowLength, settleTime: settleTime, fixed: make(map[int64]Counts)}
}

// StartTerm notes that this process is the only one that fixes counts from unixNow on.
func (l *Ledger) StartTerm(unixNow time.Duration) {
	l.termStart = unixNow
}

// Doubt notes that until a Unix time others may have fixed and reported counts that the
// store does not have any more.
func (l *Ledger) Doubt(until time.Duration) {
	l.doubtUntil = max(l.doubtUntil, until)
}

// Fixed returns the counts of a window that this process has found or made fixed.
func (l *Ledger) Fixed(window int64) (Counts, bool) {
	counts, ok := l.fixed[window]
	return counts, ok
}

// MayFix reports whether this process may fix the counts of a window: it has done so, or
// nobody else can have done so without its knowledge.
func (l *Ledger) MayFix(window int64) bool {
	if _, ok := l.fixed[window]; ok || l.doubtUntil == 0 {
		return true
	}
	due := time.Duration(window+1)*l.windowLength + l.settleTime
	return due >= min(l.termStart, l.doubtUntil)+clockMargin
}

// Fix notes the counts of a window that the store has now. It reports false if others
// were fixed before: the window must not be reported with these.
func (l *Ledger) Fix(window int64, counts Counts) bool {
	if before, ok := l.fixed[window]; ok {
		return maps.Equal(before, counts)
	}
	l.fixed[window] = counts
	for w := range l.fixed {
		if w <= window-ledgerWindows {
			delete(l.fixed, w)
		}
	}
	return true
}
