package entry_test

import (
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an answer that is unusual and sound by RFC 9112 being failed, or reaching
// its caller with another body, length or status.
var _ = DescribeTable("An upstream that sends an unusual answer",
	func(method, answer string, status int, body string) {
		s := newSite()
		s.configure()
		s.rawUpstream("app", "odd", func(r *http.Request, w io.Writer) bool {
			_, _ = fmt.Fprintf(w, answer, r.Header.Get("Attempt-Id"))
			return false
		})
		g := s.start("g1")
		got := g.ask(method, "/once/x", "key", "")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(status))
		Expect(got.body).To(Equal(body))
		Expect(got.header.Get("Response-Seal")).To(Equal("s"))
	},
	Entry("without a reason", "POST", "HTTP/1.1 200 \r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked", 200, "booked"),
	Entry("with tabs around its length", "POST", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal:\ts\t\r\nContent-Length:\t6\t\r\n\r\nbooked", 200, "booked"),
	Entry("with its length twice", "POST", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6, 6\r\n\r\nbooked", 200, "booked"),
	Entry("with neither a length nor chunks", "POST", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\nbooked", 200, "booked"),
	Entry("of HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\nbooked", 200, "booked"),
	Entry("with interim ones before", "POST", "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked", 200, "booked"),
	Entry("without a body", "POST", "HTTP/1.1 204 No Content\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n", 204, ""),
	Entry("with the length of a body that is not sent", "GET", "HTTP/1.1 304 Not Modified\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\n", 304, ""),
	Entry("with the length that HEAD leaves out", "HEAD", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\n", 200, ""),
	Entry("with an extension and a trailer", "POST", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n006;a=b\r\nbooked\r\n0\r\nKind: x\r\n\r\n", 200, "booked"),
)
