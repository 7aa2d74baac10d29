package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// repeatingUpstream is an upstream that fails as follows: when the next request arrives
// on a connection that it has kept, it first sends its previous answer once more.
type repeatingUpstream struct {
	listener net.Listener
	// answer returns the answer to a request. It is called on the threads of the
	// connections.
	answer func(r *http.Request, body string) string
}

// startRepeatingUpstream starts an upstream until the end of the spec.
func startRepeatingUpstream(answer func(r *http.Request, body string) string) *repeatingUpstream {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &repeatingUpstream{listener: ln, answer: answer}
	running := thread.Start("repeating-upstream", u.run)
	DeferCleanup(func() {
		_ = ln.Close()
		Expect(running.Join()).To(Succeed())
	})
	return u
}

// address returns the IP and port of the upstream.
func (u *repeatingUpstream) address() string { return u.listener.Addr().String() }

// run accepts connections and serves each on a thread of its own.
func (u *repeatingUpstream) run() error {
	var conns []net.Conn
	var serving []*thread.Thread
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			break
		}
		conns = append(conns, conn)
		serving = append(serving, thread.Start("repeating-connection", func() error { return u.serve(conn) }))
	}
	for i, conn := range conns {
		_ = conn.Close()
		if err := serving[i].Join(); err != nil {
			return err
		}
	}
	return nil
}

// serve answers the requests of one connection.
func (u *repeatingUpstream) serve(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	previous := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil
		}
		own := u.answer(r, string(body))
		if _, err := conn.Write([]byte(previous + own)); err != nil {
			return nil
		}
		previous = own
	}
}

// encodeAnswer returns an answer in wire format.
func encodeAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
