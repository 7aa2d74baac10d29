package usage

import "time"

// Reporter decides which window the holder of the duty reports next. One thread
// owns it.
type Reporter struct {
	length time.Duration
	settle time.Duration
	back   int64
	next   int64 // 0 until the first window is chosen
}

// NewReporter makes a reporter. A window is reported once it has ended for the
// settle time, in which all processes tell what they have counted; a new holder
// begins with the window that ended the limit ago.
func NewReporter(length, settle, limit time.Duration) *Reporter {
	return &Reporter{length: length, settle: settle, back: int64(limit/length) + 1}
}

// Due returns the window that is to be reported at a point of true time.
func (r *Reporter) Due(unix time.Duration) (int64, bool) {
	newest := int64((unix-r.settle)/r.length) - 1
	if r.next == 0 || r.next < newest-r.back {
		r.next = newest - r.back + 1
	}
	return r.next, r.next <= newest
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
