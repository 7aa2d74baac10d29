package entry

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// Guards against a stream that broke off being passed on as complete, where its end
// is only the end of the connection.
var _ = ginkgo.DescribeTable("receiver of a stream that ends with its connection",
	func(header http.Header, body string, isComplete, isDisconnect bool) {
		r := &receiver{ref: relay.AttemptRef{Handle: 1, Attempt: 1}, streaming: true, inbox: ring.New[dispatchMessage]("dispatch", 8)}
		Expect(r.inbox.Reserve()).To(Succeed())
		r.Head(http.StatusOK, header)
		if body != "" {
			Expect(r.Body([]byte(body))).To(Succeed())
		}
		r.Done()
		var last *attemptUpdate
		passed := ""
		for last == nil || !last.done && last.failure == nil {
			m, ok, err := r.inbox.TakeUntil(time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(ok).To(BeTrue())
			last = m.(*attemptUpdate)
			passed += string(last.body.Bytes)
		}
		Expect(last.done).To(Equal(isComplete))
		Expect(last.failure == nil).To(Equal(isComplete))
		Expect(passed).NotTo(ContainSubstring("id: 2\nda"))
		if !isComplete {
			Expect(last.failure.Disconnected).To(Equal(isDisconnect))
		}
	},
	ginkgo.Entry("after an event", http.Header{}, "id: 1\ndata: a\n\n", true, false),
	ginkgo.Entry("after a comment", http.Header{}, "id: 1\ndata: a\n\n: end\n", true, false),
	ginkgo.Entry("inside an event", http.Header{}, "id: 1\ndata: a\n\nid: 2\nda", false, true),
	ginkgo.Entry("inside the first event", http.Header{}, "id: 2\nda", false, true),
	ginkgo.Entry("before the blank line", http.Header{}, "id: 1\ndata: a\n", false, true),
	ginkgo.Entry("before any event", http.Header{}, "", false, true),
	ginkgo.Entry("inside an event, in chunks", http.Header{"Transfer-Encoding": {"chunked"}}, "id: 1\ndata: a\n\nid: 2\nda", false, false),
	ginkgo.Entry("before any event, in chunks", http.Header{"Transfer-Encoding": {"chunked"}}, "", true, false),
)

// Guards against events that the caller already has being passed on once more, where
// an upstream does not resume a stream but sends it from its beginning.
var _ = ginkgo.It("receiver of a resumed stream leaves out the events before", func() {
	for _, cut := range []int{1, 17, 33, 34, 60, 1000} {
		const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: x\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
		r := &receiver{ref: relay.AttemptRef{Handle: 1, Attempt: 2}, streaming: true, after: 2, inbox: ring.New[dispatchMessage]("dispatch", 8)}
		Expect(r.inbox.Reserve()).To(Succeed())
		r.Head(http.StatusOK, http.Header{"Transfer-Encoding": {"chunked"}})
		cut = min(cut, len(stream))
		Expect(r.Body([]byte(stream[:cut]))).To(Succeed())
		if cut < len(stream) {
			Expect(r.Body([]byte(stream[cut:]))).To(Succeed())
		}
		r.Done()
		passed, last := "", &attemptUpdate{}
		for !last.done {
			m, _, err := r.inbox.TakeUntil(time.Second)
			Expect(err).NotTo(HaveOccurred())
			last = m.(*attemptUpdate)
			passed += string(last.body.Bytes)
			Expect(last.failure).To(BeNil())
		}
		Expect(passed).To(ContainSubstring("id: 3\ndata: c\n\nid: 4\ndata: d\n\n"))
		Expect(passed).NotTo(ContainSubstring("data: a"))
		Expect(passed).NotTo(ContainSubstring("data: b"))
	}
})
