package httpd

import (
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// servedList is a Handler that records which exchanges it has got.
type servedList struct {
	count  atomic.Int64
	places map[*Exchange]*atomic.Int64
}

func (l *servedList) Serve(x *Exchange)      { l.places[x].Store(l.count.Add(1)) }
func (l *servedList) Disconnected(*Exchange) {}

// delayStep and maxDelay are in reads of an atomic variable.
const delayStep, maxDelay = 7, 20_000

// Guards against a caller that pipelines requests getting the answer to a later one in
// place of that to an earlier one.
var _ = It("A connection serves no request before an earlier one has been answered", func() {
	const rounds = 100_000
	one, other := net.Pipe()
	defer func() { _, _ = one.Close(), other.Close() }()
	type round struct {
		connection *connection
		first      *Exchange
	}
	starts, ends := ring.New[round]("starts", 1), ring.New[bool]("ends", 1)
	answering := thread.Start("answering", func() error {
		for {
			r, err := starts.Take()
			if err != nil {
				return nil
			}
			r.connection.release(r.first)
			_ = ends.Offer(true)
		}
	})
	overtaken, accepted, delay := 0, 0, 0
	for range rounds {
		first, second, third := &Exchange{conn: one}, &Exchange{conn: one}, &Exchange{conn: one}
		served := &servedList{places: map[*Exchange]*atomic.Int64{first: {}, second: {}, third: {}}}
		c := &connection{handler: served}
		Expect(c.serveOrQueue(first)).To(BeTrue())
		Expect(c.serveOrQueue(second)).To(BeTrue())
		Expect(starts.Offer(round{connection: c, first: first})).To(Succeed())
		for range delay {
			_ = served.count.Load()
		}
		// The third request comes close to the end of the first answer: a bit earlier if
		// it found that ended the last time.
		if c.serveOrQueue(third) {
			accepted++
			delay = max(delay-delayStep, 0)
		} else {
			delay = (delay + delayStep) % maxDelay
		}
		_, err := ends.Take()
		Expect(err).NotTo(HaveOccurred())
		if served.places[second].Load() == 0 || served.places[third].Load() != 0 {
			overtaken++
		}
	}
	starts.Close()
	Expect(answering.Join()).To(Succeed())
	GinkgoWriter.Println("accepted", accepted, "of", rounds)
	Expect(overtaken).To(BeZero(), "requests that were served while an earlier one was open")
})
