package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a part of an answer that looks whole: an upstream answers a long upload
// at once, without a length, and resets the connection while it is still being written.
var _ = DescribeTable("An upstream that answers a long upload at once, without a length",
	func(end func(*net.TCPConn), status int, body string) {
		s := newSite()
		s.configure()
		var answered atomic.Int64
		s.rawListener("app", "odd", func(c *net.TCPConn) {
			// Little of the upload fits into the buffers of the connection.
			_ = c.SetReadBuffer(4 << 10)
			r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\nbooked", r.Header.Get("Attempt-Id"))
			answered.Add(1)
			end(c)
		})
		g := s.start("g1")
		got := g.ask("POST", "/once/x", "key", strings.Repeat("b", 100000))
		Expect(answered.Load()).To(BeEquivalentTo(1))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(status), "body %q", got.body)
		if status == http.StatusOK {
			Expect(got.body).To(Equal(body))
			return
		}
		Expect(got.header).NotTo(HaveKey("Response-Seal"))
		Expect(got.body).NotTo(ContainSubstring("booked"))
	},
	Entry("and resets the connection", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
	}, http.StatusBadGateway, ""),
	Entry("and resets the connection later", func(c *net.TCPConn) {
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}, http.StatusBadGateway, ""),
	Entry("and ends it in order before it reads on", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}, http.StatusOK, "booked"),
)
