package cloud

import (
	"net/http"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// maxNoticeWait bounds how long a call waits for notices.
const maxNoticeWait = time.Minute

// announcer keeps the reclaim notices and the calls that wait for the next.
type announcer struct {
	host    *host.Host
	notices []Notice
	waiters []*waiter
}

// announce adds a notice and answers all calls that wait.
func (a *announcer) announce(instanceID string, deadline time.Time) {
	a.notices = append(a.notices, Notice{
		Seq:        uint64(len(a.notices)) + 1,
		InstanceID: instanceID,
		Deadline:   deadline,
	})
	waiting := a.waiters
	a.waiters = nil
	for _, w := range waiting {
		a.ask(w, maxNoticeWait)
	}
}

// ask answers a call at once when there are notices for it, else at the next
// one or after the wait.
func (a *announcer) ask(w *waiter, wait time.Duration) {
	if w.after < uint64(len(a.notices)) || wait <= 0 {
		a.answer(w)
		return
	}
	a.waiters = append(a.waiters, w)
	a.host.After(min(wait, maxNoticeWait), func() {
		if a.remove(w.call) {
			a.answer(w)
		}
	})
}

// remove forgets a call that waits and reports whether it did.
func (a *announcer) remove(c *host.Call) bool {
	at := slices.IndexFunc(a.waiters, func(w *waiter) bool { return w.call == c })
	if at < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, at, at+1)
	return true
}

func (a *announcer) answer(w *waiter) {
	last := uint64(len(a.notices))
	result := Notices{Notices: []Notice{}, LastSeq: last}
	if w.after < last {
		result.Notices = append(result.Notices, a.notices[w.after:]...)
	}
	w.call.ReplyJSON(http.StatusOK, result)
}
