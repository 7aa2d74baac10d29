package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

// Guards against the refusal of one request being taken for that of the next one on
// the connection, which the upstream runs.
var _ = DescribeTable("An upstream that repeats a refusal on a kept connection",
	func(pause time.Duration, ofSamePlace, runsNext bool) {
		s := newSite()
		s.configure()
		var last []byte
		ran := make(map[string]int)
		odd := s.rawUpstream("app", "odd", func(r *http.Request, w io.Writer) bool {
			if last == nil {
				last = rawAnswer(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
				_, _ = w.Write(last)
				if ofSamePlace {
					time.Sleep(pause)
					_, _ = w.Write(last)
				}
				return true
			}
			if runsNext {
				ran[r.Header.Get("Attempt-Id")]++
			}
			time.Sleep(pause)
			_, _ = w.Write(last)
			_, _ = w.Write(rawAnswer(r, http.StatusOK, "Response-Seal: seal-odd\r\n", "own"))
			last = nil
			return true
		})
		other := s.upstream("app", replica.Config{ID: "other"})
		g := s.start("g1")
		for i := range 24 {
			// Longer than an upstream that refused gets nothing.
			time.Sleep(110 * time.Millisecond)
			id := fmt.Sprintf("request-%d", i)
			got := g.ask("POST", "/once/x", "key", "b", "Attempt-Id", id)
			runs := ran[id]
			posted(other, func() {
				for _, run := range other.Runs() {
					if run.ID == id {
						runs++
					}
				}
			})
			Expect(runs).To(BeNumerically("<=", 1))
			switch got.status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				Expect(runs).To(BeZero())
			case http.StatusOK:
				Expect(got.body).To(Or(Equal("own"), Equal("ok b")))
			}
		}
		Expect(odd.requests.Load()).To(BeNumerically(">", 2))
	},
	Entry("while the next request runs", time.Duration(0), false, true),
	Entry("later while the next request runs", 5*time.Millisecond, false, true),
	Entry("together with the refusal", time.Duration(0), true, true),
	Entry("soon after the refusal", 2*time.Millisecond, true, true),
)

// Guards against a request that ran being told as not run: these statuses promise that
// to callers, while an upstream promises it only by saying so.
var _ = DescribeTable("An upstream that runs a request and rejects it without saying that it has not run",
	func(path string, status int, lines string, expected int) {
		s := newSite()
		s.configure()
		odd := s.rawUpstream(map[string]string{"/once/x": "app", "/single/x": "llm"}[path], "odd", func(r *http.Request, w io.Writer) bool {
			_, _ = w.Write(rawAnswer(r, status, lines, "full"))
			return true
		})
		g := s.start("g1")
		got := g.ask("POST", path, "key", "b")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(odd.requests.Load()).To(BeEquivalentTo(1))
		Expect(got.status).To(Equal(expected))
		if expected != status {
			Expect(got.header).NotTo(HaveKey("Response-Seal"))
			Expect(got.header).NotTo(HaveKey("Retry-After"))
		}
	},
	Entry("503", "/once/x", 503, "", 502),
	Entry("503 with a seal", "/once/x", 503, "Response-Seal: s\r\n", 502),
	Entry("503 with a pause", "/once/x", 503, "Response-Seal: s\r\nRetry-After: 1\r\n", 502),
	Entry("429", "/once/x", 429, "Response-Seal: s\r\n", 502),
	Entry("408", "/once/x", 408, "Response-Seal: s\r\n", 502),
	Entry("503 to a stream that may not be resumed", "/single/x", 503, "Response-Seal: s\r\n", 502),
	Entry("503 that says so", "/once/x", 503, "Not-Executed: 1\r\n", 503),
	Entry("500", "/once/x", 500, "Response-Seal: s\r\n", 500),
)

// Guards against what another upstream answers standing in the middle of a stream that
// had begun, or ending it as if it were complete.
var _ = DescribeTable("A stream that broke off and whose next upstream does not go on",
	func(next func(r *http.Request) []byte) {
		s := newSite()
		s.configure()
		const begun = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
		var requests atomic.Int64
		answer := func(r *http.Request, w io.Writer) bool {
			if requests.Add(1) == 1 {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
					r.Header.Get("Attempt-Id"), len(begun), begun)
				return false
			}
			_, _ = w.Write(next(r))
			return false
		}
		s.rawUpstream("llm", "a", answer)
		s.rawUpstream("llm", "b", answer)
		g := s.start("g1")
		got := g.ask("POST", "/stream/x", "key", "prompt")
		Expect(requests.Load()).To(BeNumerically(">=", 2))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(begun))
		Expect(got.err).To(HaveOccurred())
	},
	Entry("a server error", func(r *http.Request) []byte {
		return rawAnswer(r, 500, "Response-Seal: s\r\nContent-Type: text/plain\r\n", "engine failed\n\n")
	}),
	Entry("a server error like an event", func(r *http.Request) []byte {
		return rawAnswer(r, 500, "Response-Seal: s\r\nContent-Type: text/event-stream\r\n", "id: 3\ndata: failed\n\n")
	}),
	Entry("a client error", func(r *http.Request) []byte {
		return rawAnswer(r, 404, "Response-Seal: s\r\n", "not found\n\n")
	}),
	Entry("a refusal", func(r *http.Request) []byte {
		return rawAnswer(r, 503, "Not-Executed: 1\r\n", "full\n\n")
	}),
	Entry("another instance", func(r *http.Request) []byte {
		return rawAnswer(r, 421, "", "who?\n\n")
	}),
	Entry("a success without events", func(r *http.Request) []byte {
		return rawAnswer(r, 200, "Response-Seal: s\r\nContent-Type: application/json\r\n", `{"error":"engine failed"}`)
	}),
	Entry("a success with blank lines and without events", func(r *http.Request) []byte {
		return rawAnswer(r, 200, "Response-Seal: s\r\nContent-Type: text/plain\r\n", "engine failed\n\nsorry\n\n")
	}),
	Entry("another success", func(r *http.Request) []byte {
		return rawAnswer(r, 202, "Response-Seal: s\r\nContent-Type: text/plain\r\n", "later\n\n")
	}),
	Entry("a success without a seal", func(r *http.Request) []byte {
		return rawAnswer(r, 200, "Content-Type: text/event-stream\r\n", "id: 3\ndata: event 3\n\n")
	}),
	Entry("the answer to another request", func(r *http.Request) []byte {
		r.Header.Set("Attempt-Id", "another")
		return rawAnswer(r, 200, "Response-Seal: s\r\nContent-Type: text/event-stream\r\n", "id: 3\ndata: event 3\n\n")
	}),
	Entry("a head inside the body", func(r *http.Request) []byte {
		return rawAnswer(r, 200, "Response-Seal: s\r\nContent-Type: text/event-stream\r\n", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
	}),
)
