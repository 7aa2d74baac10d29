package usage

import "time"

// reportMargin is the time before the limit at which a window is reported without
// the counts of processes that have not told theirs.
const reportMargin = 3 * time.Second

// Reporter decides which window the holder of the duty reports next. One thread
// owns it.
type Reporter struct {
	length   time.Duration
	settle   time.Duration
	patience time.Duration
	back     int64
	next     int64 // 0 until the first window is chosen
}

// NewReporter makes a reporter. A window is reported once it has ended for the
// settle time and all processes have told what they have counted, or shortly
// before the limit; a new holder begins with the window that ended the limit ago.
func NewReporter(length, settle, limit time.Duration) *Reporter {
	return &Reporter{
		length: length, settle: settle, patience: max(limit-reportMargin, settle), back: int64(limit/length) + 1,
	}
}

// Due returns the window that is to be reported at a point of true time, where
// all processes have told what they counted up to another.
func (r *Reporter) Due(unix, told time.Duration) (int64, bool) {
	newest := int64((unix-r.settle)/r.length) - 1
	if r.next == 0 || r.next < newest-r.back {
		r.next = newest - r.back + 1
	}
	end := time.Duration(r.next+1) * r.length
	return r.next, r.next <= newest && (told >= end || unix >= end+r.patience)
}

// Done notes that a window was reported.
func (r *Reporter) Done(window int64) {
	if window == r.next {
		r.next++
	}
}

// Restart makes the reporter begin anew, as a new holder.
func (r *Reporter) Restart() {
	r.next = 0
}
