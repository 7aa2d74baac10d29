package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
)

// rawUpstream is an upstream that answers with any bytes. It serves one connection at
// a time.
type rawUpstream struct {
	// answer writes the answer to a request, and reports whether the connection is kept.
	answer func(r *http.Request, w io.Writer) bool
	// requests counts those received.
	requests atomic.Int64
}

// rawUpstream starts an upstream of a service and registers it.
func (s *site) rawUpstream(service, id string, answer func(*http.Request, io.Writer) bool) *rawUpstream {
	u := &rawUpstream{answer: answer}
	s.rawListener(service, id, u.serve)
	return u
}

// serve answers the requests of one connection.
func (u *rawUpstream) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.requests.Add(1)
		if !u.answer(r, conn) {
			return
		}
	}
}

// rawListener registers an upstream of a service that serves one connection after the
// other, and closes each when serve returns.
func (s *site) rawListener(service, id string, serve func(*net.TCPConn)) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	t := thread.Start("raw-upstream", func() error {
		for {
			conn, err := ln.AcceptTCP()
			if err != nil {
				return nil
			}
			serve(conn)
			_ = conn.Close()
		}
	})
	DeferCleanup(func() {
		_ = ln.Close()
		Expect(t.Join()).To(Succeed())
	})
	s.write(operator.Upstream{
		ID: id, Service: service, Address: ln.Addr().String(), FailureDomain: "z", Slots: 4, State: operator.Ready, Sequence: 1,
	}.Write)
}

// rawAnswer returns an answer to a request with the given status and further lines of
// the head.
func rawAnswer(r *http.Request, status int, lines, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d Answer\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("Attempt-Id"), len(body), lines, body)
}
