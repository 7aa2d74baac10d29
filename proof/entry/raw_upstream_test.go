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
	listener net.Listener
	// answer writes the answer to a request, and reports whether the connection is kept.
	answer func(r *http.Request, w io.Writer) bool
	// requests counts those received.
	requests atomic.Int64
}

// rawUpstream starts an upstream of a service and registers it.
func (s *site) rawUpstream(service, id string, answer func(*http.Request, io.Writer) bool) *rawUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &rawUpstream{listener: ln, answer: answer}
	t := thread.Start("raw-upstream", u.run)
	DeferCleanup(func() {
		_ = ln.Close()
		Expect(t.Join()).To(Succeed())
	})
	s.write(operator.Upstream{
		ID: id, Service: service, Address: ln.Addr().String(), FailureDomain: "z", Slots: 4, State: operator.Ready, Sequence: 1,
	}.Write)
	return u
}

func (u *rawUpstream) run() error {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return nil
		}
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, r.Body)
			u.requests.Add(1)
			if !u.answer(r, conn) {
				break
			}
		}
		_ = conn.Close()
	}
}

// rawAnswer returns an answer to a request with the given status and further lines of
// the head.
func rawAnswer(r *http.Request, status int, lines, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d Answer\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, r.Header.Get("Attempt-Id"), len(body), lines, body)
}
