package httpc_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against a request being sent over a connection that its server is about to close,
// since a call that expired unsent in between made the connection look used.
var _ = It("A call that expires unsent does not renew an idle connection", func() {
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	Expect(err).NotTo(HaveOccurred())
	peers := ring.New[string]("peers", 2)
	answer := func(id string) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			_ = peers.Offer(c.RemoteAddr().String())
			respond("HTTP/1.1 200 OK\r\nName: " + id + "\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")(c)
		}
	}
	server := &scriptedServer{listener: ln, scripts: []func(*net.TCPConn){answer("a"), answer("c")}}
	client := startClient(ln, server.run)
	call := func(id string, notAfter clock.Instant) error {
		r := newRecorder()
		Expect(client.Start(&httpc.Call{
			Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {id}}, EchoHeader: "Name",
			Timeout: 2 * time.Second, NotAfter: notAfter, Sink: r,
		})).To(Succeed())
		failed, takeErr := r.ended.Take()
		Expect(takeErr).NotTo(HaveOccurred())
		return failed
	}
	Expect(call("a", 0)).To(Succeed())
	time.Sleep(500 * time.Millisecond)
	Expect(call("b", clock.System{}.Now())).To(BeAssignableToTypeOf(&httpc.NotSentError{}))
	time.Sleep(400 * time.Millisecond)
	Expect(call("c", 0)).To(Succeed())
	first, err := peers.Take()
	Expect(err).NotTo(HaveOccurred())
	Expect(peers.Take()).NotTo(Equal(first))
})
