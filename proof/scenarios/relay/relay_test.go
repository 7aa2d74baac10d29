package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

func TestRelay(t *testing.T) { hosttest.Run(t, "relay") }

var _ = Describe("A relay that copies refusals", func() {
	const (
		// full is the ID of a request that its upstream has no room for.
		full = "full"
		// moved is the ID of a request that is meant for another instance.
		moved = "moved"
		// delay is that of a late copy.
		delay = 20 * time.Millisecond
	)
	var (
		upstream *replica.Replica
		conn     net.Conn
		reader   *bufio.Reader
	)

	open := func(fault relay.Fault) {
		upstream = replica.New(replica.Config{ID: "new", Address: "127.0.0.1:0"})
		Expect(upstream.Open()).To(Succeed())
		hosttest.Start(upstream)
		r, err := relay.Start(upstream.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)
		Expect(r.Set(relay.State{Fault: fault})).To(Succeed())
		conn, err = net.Dial("tcp", r.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		reader = bufio.NewReader(conn)
	}
	send := func(id, instance string) {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nExpect-Instance: %s\r\nContent-Length: 1\r\n\r\nb", id, instance)
		Expect(err).NotTo(HaveOccurred())
	}
	// expect reads the next response.
	expect := func(id string, status int) {
		GinkgoHelper()
		res, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Header.Get("Attempt-Id")).To(Equal(id))
		Expect(res.StatusCode).To(Equal(status))
		// This reads the rest of the body.
		Expect(res.Body.Close()).To(Succeed())
	}
	setFull := func(isFull bool) {
		change := func(c *replica.Config) { c.RejectAll = isFull }
		Expect(world.Posted(upstream, func() { upstream.UpdateConfig(change) })).To(Succeed())
	}
	refuse := func() {
		send(moved, "old")
		expect(moved, http.StatusMisdirectedRequest)
		setFull(true)
		send(full, "new")
		expect(full, http.StatusServiceUnavailable)
		setFull(false)
	}

	It("passes all on once without a fault", func() {
		open(relay.Fault{})
		refuse()
		for _, id := range []string{moved, full} {
			send(id, "new")
			expect(id, http.StatusOK)
		}
	})

	It("sends the copy on an idle connection", func() {
		open(relay.Fault{Kind: relay.LateCopy, Delay: delay})
		send(moved, "old")
		expect(moved, http.StatusMisdirectedRequest)
		expect(moved, http.StatusMisdirectedRequest)
	})

	It("sends the copy before the response to another request", func() {
		open(relay.Fault{Kind: relay.LateCopy, Delay: delay})
		send(moved, "old")
		expect(moved, http.StatusMisdirectedRequest)
		send("next", "new")
		expect(moved, http.StatusMisdirectedRequest)
		expect("next", http.StatusOK)
	})

	It("sends the copy when the refused request comes again, and no other time", func() {
		open(relay.Fault{Kind: relay.CopyOnRetry})
		refuse()
		send("next", "new")
		expect("next", http.StatusOK)
		send(full, "new")
		expect(full, http.StatusServiceUnavailable)
		expect(full, http.StatusOK)
		send(moved, "new")
		expect(moved, http.StatusMisdirectedRequest)
		expect(moved, http.StatusOK)
		for _, id := range []string{moved, full} {
			send(id, "new")
			expect(id, http.StatusOK)
		}
	})
})
