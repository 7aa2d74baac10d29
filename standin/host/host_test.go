package host_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

// behavior keeps the paths served and the calls whose callers have gone.
type behavior struct {
	served *ring.Ring[string]
	gone   *ring.Ring[string]
}

func (b *behavior) Serve(c *host.Call) {
	_ = b.served.Offer(c.Path)
	switch c.Path {
	case "/hang":
	case "/stream":
		c.StartStream(http.StatusOK, nil)
		c.WriteStream([]byte("one "))
		c.WriteStream([]byte("two"))
		c.EndStream()
	case "/number":
		if n, ok := c.QueryNumber("n"); ok {
			c.ReplyJSON(http.StatusOK, n)
		}
	default:
		c.Reply(http.StatusOK, nil, []byte("ok"))
	}
}

func (b *behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

func (b *behavior) Gone(c *host.Call) { _ = b.gone.Offer(c.Path) }

var _ = Describe("Host", func() {
	var (
		h *host.Host
		b *behavior
	)

	BeforeEach(func() {
		h = host.New(host.Config{Name: "host", Address: "127.0.0.1:0"})
		b = &behavior{served: ring.New[string]("served", 64), gone: ring.New[string]("gone", 64)}
		Expect(h.Open(b)).To(Succeed())
		hosttest.Start(h)
	})

	get := func(path string) (int, string, error) {
		status, _, body, err := hosttest.Send(http.MethodGet, h.Address(), path, nil, nil)
		return status, string(body), err
	}

	It("runs timers in the order of their time, those of one time in order", func() {
		order := ring.New[string]("order", 8)
		note := func(s string) func() { return func() { _ = order.Offer(s) } }
		Expect(h.Post(func() {
			h.After(40*time.Millisecond, note("third"))
			h.After(0, note("first"))
			h.After(0, note("second"))
		})).To(Succeed())
		Expect(order.Take()).To(Equal("first"))
		Expect(order.Take()).To(Equal("second"))
		Expect(order.Take()).To(Equal("third"))
	})

	It("answers whole and in pieces", func() {
		_, body, err := get("/")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
		_, body, err = get("/stream")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("one two"))
	})

	It("reads numbers of the URL", func() {
		_, body, _ := get("/number?n=12")
		Expect(body).To(Equal("12"))
		_, body, _ = get("/number")
		Expect(body).To(Equal("0"))
		status, _, _ := get("/number?n=x")
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	It("tells the behavior that a caller has gone", func() {
		client := http.Client{Timeout: 50 * time.Millisecond}
		_, err := client.Get("http://" + h.Address() + "/hang")
		Expect(err).To(HaveOccurred())
		Expect(b.gone.Take()).To(Equal("/hang"))
	})

	It("tells the behavior of an answer that was cut off by a switch", func() {
		hosttest.SetFaults(h.Address(), host.Faults{LoseAnswers: 1})
		_, _, err := get("/stream")
		Expect(err).To(HaveOccurred())
		Expect(b.gone.Take()).To(Equal("/stream"))
	})

	It("holds streams and whole answers while frozen", func() {
		hosttest.SetFaults(h.Address(), host.Faults{Freeze: true})
		pending := hosttest.NewPending[string]()
		hosttest.Go(func() {
			_, body, err := get("/stream")
			pending.Done(body, err)
		})
		Expect(b.served.Take()).To(Equal("/stream"))
		hosttest.SetFaults(h.Address(), host.Faults{})
		Expect(pending.Wait()).To(Equal("one two"))
	})

	It("keeps its switches when they are read or set wrongly", func() {
		hosttest.SetFaults(h.Address(), host.Faults{SlowMillis: 1})
		for _, body := range []string{`{"mode":"odd"}`, `{"slow_ms":-1}`, `no`} {
			status, _, _, err := hosttest.Send(http.MethodPost, h.Address(), "/standin/faults", nil, []byte(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusBadRequest))
		}
		var f host.Faults
		Expect(hosttest.SendJSON(http.MethodGet, h.Address(), "/standin/faults", nil, &f)).To(Equal(http.StatusOK))
		Expect(f).To(Equal(host.Faults{SlowMillis: 1}))
	})

	It("refuses what is posted after its end", func() {
		closed := host.New(host.Config{Name: "closed", Address: "127.0.0.1:0"})
		Expect(closed.Open(b)).To(Succeed())
		closed.Close()
		Expect(closed.Post(func() {})).To(BeAssignableToTypeOf(&ring.ClosedError{}))
		Expect(closed.Run()).To(Succeed())
	})
})

var _ = Describe("Bucket", func() {
	var now clock.Instant

	BeforeEach(func() { now = 1 })

	It("holds the tokens of one second and refills", func() {
		b := host.NewBucket(2, now)
		Expect(b.Take(1, now)).To(BeTrue())
		Expect(b.Take(1, now)).To(BeTrue())
		Expect(b.Take(1, now)).To(BeFalse())
		Expect(b.Take(1, now.Add(500*time.Millisecond))).To(BeTrue())
		Expect(b.Take(3, now.Add(time.Hour))).To(BeTrue())
		Expect(b.Take(1, now.Add(time.Hour+500*time.Millisecond))).To(BeFalse())
	})

	It("says when reserved tokens will be there", func() {
		b := host.NewBucket(10, now)
		Expect(b.Reserve(10, now)).To(BeZero())
		Expect(b.Reserve(10, now)).To(Equal(time.Second))
		Expect(b.Reserve(5, now)).To(Equal(1500 * time.Millisecond))
	})

	It("has no limit at a rate of zero", func() {
		b := host.NewBucket(0, now)
		Expect(b.Take(1e9, now)).To(BeTrue())
		Expect(b.Reserve(1e9, now)).To(BeZero())
	})
})
