package cloud

import (
	"net/http"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// maxNoticeWait bounds how long a poll waits for notices.
const maxNoticeWait = time.Minute

// noticeFeed keeps all reclaim notices and serves long polls for them.
type noticeFeed struct {
	host    *host.Host
	notices []Notice
	waiters []*waiter
}

// publish adds a notice and replies to the polls that wait for it.
func (f *noticeFeed) publish(instanceID string, deadline time.Time) {
	f.notices = append(f.notices, Notice{
		Seq:        uint64(len(f.notices)) + 1,
		InstanceID: instanceID,
		Deadline:   deadline,
	})
	waiting := f.waiters
	f.waiters = nil
	for _, w := range waiting {
		f.poll(w, maxNoticeWait)
	}
}

// poll replies at once when there are notices after the given number, else when
// one is published or the wait is over.
func (f *noticeFeed) poll(w *waiter, wait time.Duration) {
	if w.after < uint64(len(f.notices)) || wait <= 0 {
		f.reply(w)
		return
	}
	f.waiters = append(f.waiters, w)
	f.host.After(min(wait, maxNoticeWait), func() {
		if f.cancelPoll(w.call) {
			f.reply(w)
		}
	})
}

// cancelPoll removes a waiting poll and reports whether there was one.
func (f *noticeFeed) cancelPoll(c *host.Call) bool {
	at := slices.IndexFunc(f.waiters, func(w *waiter) bool { return w.call == c })
	if at < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, at, at+1)
	return true
}

func (f *noticeFeed) reply(w *waiter) {
	last := uint64(len(f.notices))
	result := Notices{Notices: []Notice{}, LastSeq: last}
	if w.after < last {
		result.Notices = append(result.Notices, f.notices[w.after:]...)
	}
	w.call.ReplyJSON(http.StatusOK, result)
}
