package entry_test

import (
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against bytes that are no answer reaching a caller as one (MIXED): an upstream in
// trouble spoils the head of its answer or how its body is delimited.
var _ = DescribeTable("An upstream that sends a broken answer",
	func(answer string) {
		s := newSite()
		s.configure()
		odd := s.rawUpstream("app", "odd", func(r *http.Request, w io.Writer) bool {
			_, _ = fmt.Fprintf(w, answer, r.Header.Get("Attempt-Id"))
			return false
		})
		g := s.start("g1")
		got := g.ask("POST", "/once/x", "key", "booking")
		Expect(odd.requests.Load()).To(BeEquivalentTo(1))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway), "body %q", got.body)
		Expect(got.header).NotTo(HaveKey("Response-Seal"))
		Expect(got.body).NotTo(ContainSubstring("boo"))
	},
	Entry("with a line that is no field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nout of memory\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with a line that has a colon and is no field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nout of memory: 5\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with a blank in the name of a field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent Length: 3\r\n\r\nbooked"),
	Entry("with a blank after the name of a field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length : 3\r\n\r\nbooked"),
	Entry("with a control byte in the name of a field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent\x01Length: 3\r\n\r\nbooked"),
	Entry("with a tab in the name of a field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent\tLength: 3\r\n\r\nbooked"),
	Entry("with a control byte in the value of a field", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nKind: x\x01y\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with the status 000", "HTTP/1.1 000 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with the status 000 and no length", "HTTP/1.1 000 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\nbooked"),
	Entry("with the status 000 before another answer", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with the status 999", "HTTP/1.1 999 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with the status 101", "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\nHTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with two lengths", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 3\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with two lengths in a list", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6, 3\r\n\r\nbooked"),
	Entry("with an empty length", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length:\r\n\r\nbooked"),
	Entry("with a length that has a sign", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: +3\r\n\r\nbooked"),
	Entry("with a length that is no number", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6x\r\n\r\nbooked"),
	Entry("with a length beside chunks", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n"),
	Entry("with an unknown transfer coding", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunkd\r\n\r\n6\r\nbooked\r\n0\r\n\r\n"),
	Entry("with a body after a status without one", "HTTP/1.1 204 No Content\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 6\r\n\r\nbooked"),
	Entry("with text after the last size", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nboo\r\n0x3\r\n\r\nked\r\n0\r\n\r\n"),
	Entry("with a line feed after a size", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n6;\nbooked\r\nnot it\r\n0\r\n\r\n"),
	Entry("with text in place of the end of its chunks", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\nout of memory\r\n\r\n"),
)
