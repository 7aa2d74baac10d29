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
