package httpc_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against a caller that repeats one ID, one call at a time, taking all the
// connections that a server accepts: each repetition would leave one more idle.
var _ = Describe("Client with many calls that have the same ID, one at a time", func() {
	It("keeps no more idle connections than it has had calls in progress, beyond one", func() {
		const calls = 30
		ln, err := net.Listen("tcp", "127.0.0.2:0")
		Expect(err).NotTo(HaveOccurred())
		server := &refusingServer{listener: ln}
		open := newOpenCounter(ln)
		server.listener = open
		client := startClient(ln, server.run)
		for range calls {
			r := newRecorder()
			Expect(client.Start(&httpc.Call{
				Address: ln.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Name": {"same"}}, EchoHeader: "Name",
				Timeout: 5 * time.Second, Sink: r,
			})).To(Succeed())
			failed, err := r.ended.Take()
			Expect(err).NotTo(HaveOccurred())
			Expect(failed).NotTo(HaveOccurred())
		}
		Eventually(open.count, "1s", "20ms").Should(BeNumerically("<=", 2))
	})
})
