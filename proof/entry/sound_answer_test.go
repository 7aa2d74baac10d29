package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

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
		if method == http.MethodHead {
			Expect(got.header.Get("Content-Length")).To(BeElementOf("", "6"))
		}
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

// Guards against bytes after the answer to HEAD, which a caller takes for its next answer.
var _ = It("An upstream that answers HEAD for a stream", func() {
	s := newSite()
	s.configure()
	s.rawUpstream("llm", "odd", func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt-Id"))
		return false
	})
	g := s.start("g1")
	conn, err := net.Dial("tcp", g.settings.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "HEAD /single/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nCredential: key\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
	// The gateway waits for the caller to close the connection.
	got, _ := io.ReadAll(conn)
	Expect(string(got)).To(HavePrefix("HTTP/1.1 200 "))
	Expect(string(got)).To(HaveSuffix("\r\n\r\n"))
	Expect(string(got)).NotTo(ContainSubstring("\r\n\r\n0"))
})
