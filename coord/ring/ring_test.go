package ring_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

var _ = Describe("Ring", func() {
	It("rejects an offer when full and returns the values in order", func() {
		r := ring.New[int]("test", 2)
		Expect(r.Offer(1)).To(Succeed())
		Expect(r.Offer(2)).To(Succeed())
		var full *ring.FullError
		Expect(r.Offer(3)).To(BeAssignableToTypeOf(full))
		Expect(r.Take()).To(Equal(1))
		Expect(r.Offer(4)).To(Succeed())
		Expect(r.Take()).To(Equal(2))
		Expect(r.Take()).To(Equal(4))
		Expect(r.Stats().Refused).To(Equal(uint64(1)))
	})

	It("keeps a reserved slot for its holder", func() {
		r := ring.New[int]("test", 2)
		Expect(r.Reserve()).To(Succeed())
		Expect(r.Offer(1)).To(Succeed())
		Expect(r.Offer(2)).NotTo(Succeed())
		Expect(r.OfferReserved(3)).To(Succeed())
		Expect(r.Take()).To(Equal(1))
		Expect(r.Take()).To(Equal(3))
	})

	It("returns the remaining values after Close, then a ClosedError", func() {
		r := ring.New[int]("test", 2)
		Expect(r.Offer(1)).To(Succeed())
		r.Close()
		var closed *ring.ClosedError
		Expect(r.Offer(2)).To(BeAssignableToTypeOf(closed))
		Expect(r.Take()).To(Equal(1))
		_, err := r.Take()
		Expect(err).To(BeAssignableToTypeOf(closed))
	})

	It("returns without a value after the timeout", func() {
		r := ring.New[int]("test", 2)
		_, ok, err := r.TakeUntil(time.Millisecond)
		Expect(ok).To(BeFalse())
		Expect(err).NotTo(HaveOccurred())
	})

	It("neither loses nor duplicates values with many producers", func() {
		const producers, each = 8, 5000
		r := ring.New[[2]int]("test", 64)
		var threads []*thread.Thread
		for p := range producers {
			threads = append(threads, thread.Start("producer", func() error {
				for i := 0; i < each; {
					if r.Offer([2]int{p, i}) == nil {
						i++
					}
				}
				return nil
			}))
		}
		next := [producers]int{}
		for range producers * each {
			v, err := r.Take()
			Expect(err).NotTo(HaveOccurred())
			Expect(v[1]).To(Equal(next[v[0]]))
			next[v[0]]++
		}
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
	})

	It("uses no processor time while it blocks", func() {
		const parked = 300 * time.Millisecond
		r := ring.New[int]("test", 1)
		var used time.Duration
		t := thread.Start("parked", func() error {
			before := threadTime()
			_, err := r.Take()
			used = threadTime() - before
			return err
		})
		time.Sleep(parked)
		Expect(r.Offer(1)).To(Succeed())
		Expect(t.Join()).To(Succeed())
		// A busy wait would use all of the time, a blocked thread almost none.
		Expect(used).To(BeNumerically("<", parked/10))
	})
})

func threadTime() time.Duration {
	var usage syscall.Rusage
	const rusageThread = 1
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkRingHop(b *testing.B) {
	r := ring.New[int]("bench", 1024)
	t := thread.Start("consumer", func() error {
		for {
			if _, err := r.Take(); err != nil {
				return nil
			}
		}
	})
	b.ReportAllocs()
	for i := 0; i < b.N; {
		if r.Offer(i) == nil {
			i++
		}
	}
	r.Close()
	_ = t.Join()
}

func BenchmarkChannelHop(b *testing.B) {
	c := make(chan int, 1024)
	t := thread.Start("consumer", func() error {
		for range c {
			continue
		}
		return nil
	})
	b.ReportAllocs()
	for i := range b.N {
		c <- i
	}
	close(c)
	_ = t.Join()
}
