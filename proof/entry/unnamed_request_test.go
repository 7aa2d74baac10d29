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

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// Guards against a request that reaches its upstream without the ID that its caller gave
// it, by which the response to it is told from that to another.
var _ = It("A request that names its ID in the field Connection keeps that ID", func() {
	s := newSite()
	s.configure()
	ids := ring.New[string]("ids", 4)
	s.rawUpstream("app", "a", func(r *http.Request, w io.Writer) bool {
		_ = ids.Offer(r.Header.Get("Attempt-Id"))
		_, _ = w.Write(rawAnswer(r, http.StatusOK, "Response-Seal: s\r\n", "own"))
		return true
	})
	g := s.start("g1")
	conn, err := net.Dial("tcp", g.settings.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = fmt.Fprint(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nConnection: Attempt-Id\r\nAttempt-Id: own\r\nCredential: key\r\nDeadline-Ms: 1000\r\nContent-Length: 1\r\n\r\nx")
	Expect(err).NotTo(HaveOccurred())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	id, _, err := ids.TakeUntil(0)
	Expect(err).NotTo(HaveOccurred())
	Expect(id).To(Equal("own"), "answered %d", res.StatusCode)
})
