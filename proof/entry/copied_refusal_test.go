package entry_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/operator"
)

// Guards against the copy of a refusal being taken for the response to the same request,
// when that is under way again on the same connection: it would run twice, or be refused
// as not run although it ran.
var _ = Describe("A request that comes again to an upstream that repeats its refusal", func() {
	const rounds = 12
	var s *site

	BeforeEach(func() {
		s = newSite()
		s.configure()
	})

	// check checks the last status that callers got against what ran. Some requests must
	// have run at an upstream that had refused them before.
	check := func(statuses map[string]int, upstreams ...*repeatingUpstream) {
		runs, again := make(map[string]int), 0
		for _, u := range upstreams {
			refused, ran := drain(u.refused), drain(u.ran)
			for id, n := range ran {
				runs[id] += n
				if refused[id] > 0 {
					again++
				}
			}
		}
		Expect(again).To(BeNumerically(">", 0), "requests that ran where they had been refused")
		for id, status := range statuses {
			Expect(runs[id]).To(BeNumerically("<=", 1), "TWICE: %s ran at two upstreams", id)
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				Expect(runs[id]).To(BeZero(), "REFUSED: %s ran and was refused with %d", id, status)
			}
		}
	}

	// The entry of an upstream stands for a while after another instance has started at
	// its address.
	DescribeTable("under the entry of a former instance, then under its own",
		func(others int) {
			u := s.repeatingUpstream(func(r *http.Request) []byte {
				if r.Header.Get("Expect-Instance") == "present" {
					return nil
				}
				return rawAnswer(r, http.StatusMisdirectedRequest, "", "")
			})
			u.register(s, "present")
			upstreams := []*repeatingUpstream{u}
			for i := range others {
				other := s.repeatingUpstream(func(*http.Request) []byte { return nil })
				other.register(s, fmt.Sprintf("other-%d", i))
				upstreams = append(upstreams, other)
			}
			g := s.start("g1")
			statuses := make(map[string]int)
			for i := range rounds {
				former := fmt.Sprintf("former-%d", i)
				u.register(s, former)
				Eventually(g.logged, "5s", "1ms").Should(ContainSubstring("upstream=" + former))
				id := fmt.Sprintf("request-%d", i)
				statuses[id] = g.ask("POST", "/once/x", "key", "b", "Attempt-Id", id).status
				posted(s.store, func() { operator.RemoveUpstream(s.store, former) })
			}
			check(statuses, upstreams...)
		},
		Entry("where it is the only upstream", 0),
		Entry("beside another upstream", 1),
	)

	It("when its caller sends it once more", func() {
		var sends atomic.Int64
		u := s.repeatingUpstream(func(r *http.Request) []byte {
			if sends.Add(1)%2 == 0 {
				return nil
			}
			return rawAnswer(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
		})
		u.register(s, "a")
		g := s.start("g1")
		statuses := make(map[string]int)
		for i := range rounds {
			id := fmt.Sprintf("request-%d", i)
			for range 2 {
				// Longer than an upstream that refused gets nothing.
				time.Sleep(110 * time.Millisecond)
				statuses[id] = g.ask("POST", "/once/x", "key", "b", "Attempt-Id", id).status
			}
		}
		check(statuses, u)
	})
})
