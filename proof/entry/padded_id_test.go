package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a request that ran being reported as failed since white space around its
// ID, which belongs to no header field's value, is not in the upstream's response.
var _ = DescribeTable("A request with white space around its ID", func(field string) {
	s := newSite()
	s.configure()
	s.rawUpstream("app", "a", func(r *http.Request, w io.Writer) bool {
		_, _ = w.Write(rawAnswer(r, http.StatusOK, "Response-Seal: s\r\n", "own"))
		return true
	})
	g := s.start("g1")
	conn, err := net.Dial("tcp", g.settings.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\n%s\r\nCredential: key\r\nDeadline-Ms: 1000\r\nContent-Length: 1\r\n\r\nx", field)
	Expect(err).NotTo(HaveOccurred())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	Expect(res.StatusCode).To(Equal(http.StatusOK))
},
	Entry("none", "Attempt-Id: padded"),
	Entry("before it", "Attempt-Id:   padded"),
	Entry("a tab before it", "Attempt-Id:\tpadded"),
	Entry("after it", "Attempt-Id: padded "),
	Entry("a tab after it", "Attempt-Id: padded\t"),
)
