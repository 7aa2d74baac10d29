package httpc_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Guards against an exclusive call that shares its connection with a call before or
// after it: a late copy of one response would be taken for the other.
var _ = Describe("Client with exclusive calls", func() {
	It("gives each a connection of its own, which it closes", func() {
		closed := ring.New[string]("closed", 4)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(r.RemoteAddr))
		}))
		server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				_ = closed.Offer(conn.RemoteAddr().String())
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		client := httpc.New(httpc.Config{})
		Expect(client.Open()).To(Succeed())
		running := thread.Start("client", client.Run)
		DeferCleanup(func() {
			client.Close()
			Expect(running.Join()).To(Succeed())
		})
		// peerOf makes a call and returns the address from which the server got it.
		peerOf := func(exclusive bool) string {
			GinkgoHelper()
			r := newRecorder()
			Expect(client.Start(&httpc.Call{
				Address: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/",
				Exclusive: exclusive, Timeout: 10 * time.Second, Sink: r,
			})).To(Succeed())
			Expect(r.ended.Take()).To(BeNil())
			return string(r.body)
		}
		shared := peerOf(false)
		first := peerOf(true)
		second := peerOf(true)
		Expect([]string{first, second}).NotTo(ContainElement(shared))
		Expect(second).NotTo(Equal(first))
		Expect(peerOf(false)).To(Equal(shared))
		var ended []string
		for range 2 {
			peer, err := closed.Take()
			Expect(err).NotTo(HaveOccurred())
			ended = append(ended, peer)
		}
		Expect(ended).To(ConsistOf(first, second))
	})
})
