package usage

import "time"

// reportMargin is how long before the time limit a window is reported even if
// some processes have not published their counts.
const reportMargin = 3 * time.Second

// Reporter decides which window the lease holder reports next. It is used by one
// thread.
type Reporter struct {
	windowLength time.Duration
	settleTime   time.Duration
	maxDelay     time.Duration // from the end of a window to its report
	lookback     int64         // windows that a new holder reports again
	next         int64         // 0 until the first window is chosen
}

// NewReporter makes a reporter. A window is reported settleTime after its end,
// once all processes have published their counts, and at the latest shortly
// before limit has passed since its end. A new holder starts with the window that
// ended limit ago, since its predecessor may not have reported later ones.
func NewReporter(windowLength, settleTime, limit time.Duration) *Reporter {
	return &Reporter{
		windowLength: windowLength, settleTime: settleTime, maxDelay: max(limit-reportMargin, settleTime), lookback: int64(limit/windowLength) + 1,
	}
}

// Due returns the next window to report and whether it is due at unixNow. All
// processes have published their counts up to publishedUntil.
func (r *Reporter) Due(unixNow, publishedUntil time.Duration) (int64, bool) {
	newest := int64((unixNow-r.settleTime)/r.windowLength) - 1
	if r.next == 0 || r.next < newest-r.lookback {
		r.next = newest - r.lookback + 1
	}
	end := time.Duration(r.next+1) * r.windowLength
	return r.next, r.next <= newest && (publishedUntil >= end || unixNow >= end+r.maxDelay)
}

// Done notes that a window needs no further report.
func (r *Reporter) Done(window int64) {
	if window == r.next {
		r.next++
	}
}

// Restart makes the reporter start over as a new holder.
func (r *Reporter) Restart() {
	r.next = 0
}
