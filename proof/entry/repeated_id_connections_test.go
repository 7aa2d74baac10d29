package entry_test

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against one caller that repeats its ID, one request at a time, taking more of the
// connections that an upstream accepts than a gateway may have requests in progress there.
var _ = It("A caller that repeats its ID leaves no more connections than there are slots", func() {
	const (
		slots    = 4
		requests = 12
	)
	s := newSite()
	s.configure()
	s.repeatingUpstream(func(r *http.Request) []byte {
		return rawAnswer(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
	}).register(s, "a")
	g := s.start("g1")
	for range requests {
		// Longer than an upstream that refused gets nothing.
		time.Sleep(110 * time.Millisecond)
		g.ask("POST", "/once/x", "key", "b", "Attempt-Id", "same")
	}
	skipped := regexp.MustCompile(`attempt_rejected.* connections_skipped=(\d+)|connections_skipped=(\d+).*attempt_rejected`)
	rejected, most := 0, 0
	for line := g.logged(); line != ""; line = g.logged() {
		if m := skipped.FindStringSubmatch(line); m != nil {
			n, err := strconv.Atoi(m[1] + m[2])
			Expect(err).NotTo(HaveOccurred())
			rejected, most = rejected+1, max(most, n)
		}
	}
	Expect(rejected).To(BeNumerically(">", slots))
	Expect(most+1).To(BeNumerically("<=", slots), "open connections after %d requests", rejected)
})
