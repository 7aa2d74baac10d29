package httpd_test

import (
	"bufio"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// collector keeps the exchanges that it gets.
type collector struct {
	inbox *ring.Ring[*httpd.Exchange]
}

func (c *collector) Serve(x *httpd.Exchange)      { _ = c.inbox.Offer(x) }
func (c *collector) Disconnected(*httpd.Exchange) {}

// Guards against a new connection being closed unread: its descriptor is that of an
// aborted one, whose end the poller had still to handle.
var _ = It("Server does not close a new connection for the end of an aborted one", func() {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	held, release := ring.New[bool]("held", 4), ring.New[bool]("release", 4)
	handler := &collector{inbox: ring.New[*httpd.Exchange]("collector", 4)}
	server := httpd.New(httpd.Config{Address: "127.0.0.1:0", Pollers: 1, OnMalformed: func(*httpd.MalformedError) {
		// This holds the poller up.
		_ = held.Offer(true)
		_, _, _ = release.TakeUntil(10 * time.Second)
	}}, handler)
	Expect(server.Open()).To(Succeed())
	DeferCleanup(server.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", server.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c net.Conn, text string) {
		_, err := c.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	await := func(r *ring.Ring[bool]) {
		_, ok, err := r.TakeUntil(5 * time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
	}
	first, second, aborted := dial(), dial(), dial()
	send(aborted, request)
	x, ok, err := handler.inbox.TakeUntil(5 * time.Second)
	Expect(err).NotTo(HaveOccurred())
	Expect(ok).To(BeTrue())

	send(first, "no HTTP\r\n\r\n")
	await(held)
	// Both come with the poller's next wait, the second connection's bytes first.
	send(second, "no HTTP\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	Expect(aborted.Close()).To(Succeed())
	time.Sleep(20 * time.Millisecond)
	Expect(release.Offer(true)).To(Succeed())
	await(held)
	// The poller holds the notice of the end of the connection that is aborted now.
	x.Abort()
	// One of several gets the descriptor, if it is free.
	var next []net.Conn
	for range 8 {
		next = append(next, dial())
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	Expect(release.Offer(true)).To(Succeed())
	time.Sleep(50 * time.Millisecond)
	for _, c := range next {
		send(c, request)
		x, ok, err = handler.inbox.TakeUntil(2 * time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue(), "the new connection was closed unread")
		Expect(x.Reply(http.StatusOK, nil, nil)).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
})
