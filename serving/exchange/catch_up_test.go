package exchange_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// Guards against a process that starts on the copy of a restored store and serves what the
// others know to be withdrawn (review/13), or serves nothing although they can hand over what
// it lacks.
var _ = Describe("CatchUp", func() {
	var c *exchange.CatchUp
	BeforeEach(func() { c = exchange.NewCatchUp("g0") })
	// peers returns live gateways g1, g2 ... that use versions.
	peers := func(versions ...uint64) (list []exchange.Peer) {
		for i, v := range versions {
			name := fmt.Sprintf("g%d", i+1)
			list = append(list, exchange.Peer{Instance: name, Address: name, Config: v, IsLive: true})
		}
		return list
	}
	names := func(list []exchange.Peer) (out []string) {
		for _, p := range list {
			out = append(out, p.Instance)
		}
		return out
	}
	// read reads version 3 in the second timeline at an instant, with three others known from
	// their records, which use versions.
	read := func(since time.Duration, versions ...uint64) {
		c.Has(3)
		c.Read(2, at(since))
		c.Known(peers(versions...), 2, at(since))
	}
	standing := func(since time.Duration) exchange.Standing { return c.Standing(at(since)) }

	It("allows any configuration of a store that was never restored, and asks nobody", func() {
		for timeline := range uint64(2) {
			c.Has(3)
			Expect(c.Read(timeline, at(0))).To(BeFalse())
			c.Known(peers(9), timeline, at(0))
			Expect(standing(0)).To(Equal(exchange.Unquestioned))
			Expect(c.Next(at(0))).To(BeEmpty())
		}
	})

	It("waits to know the others from when it has read, however long the process has run", func() {
		c.Known(peers(3), 1, at(0))
		c.Has(3)
		Expect(c.Read(2, at(time.Hour))).To(BeTrue())
		Expect(standing(time.Hour + 1900*time.Millisecond)).To(Equal(exchange.AwaitsPeers))
		Expect(standing(time.Hour + 2*time.Second)).To(Equal(exchange.NoPeers))
	})

	It("allows what it has read once all have told that they use none, or can't answer", func() {
		read(0, 3, 0, 0)
		Expect(names(c.Next(at(0)))).To(ConsistOf("g1", "g2", "g3"))
		Expect(c.Next(at(0))).To(BeEmpty())
		c.Answered("g1", 2, 0, at(0))
		c.Failed("g2", 2, true, at(0))
		Expect(standing(0)).To(Equal(exchange.AwaitsAnswers))
		c.Answered("g3", 2, 0, at(0))
		Expect(standing(0)).To(Equal(exchange.Confirmed))
	})

	It("takes what a single one uses, though the others and all records tell an older one", func() {
		read(0, 3, 3, 3)
		c.Next(at(0))
		c.Answered("g1", 2, 3, at(0))
		c.Answered("g2", 2, 3, at(0))
		c.Answered("g3", 2, 9, at(0))
		Expect(standing(0)).To(Equal(exchange.AwaitsConfig))
		c.Has(9)
		Expect(standing(0)).To(Equal(exchange.Confirmed))
	})

	It("asks one that is silent again, for a bounded time, and goes on once it is back", func() {
		read(0, 3, 3)
		c.Next(at(0))
		c.Answered("g1", 2, 3, at(0))
		c.Failed("g2", 2, false, at(400*time.Millisecond))
		Expect(c.Next(at(500 * time.Millisecond))).To(BeEmpty())
		Expect(names(c.Next(at(550 * time.Millisecond)))).To(Equal([]string{"g2"}))
		Expect(standing(990 * time.Millisecond)).To(Equal(exchange.AwaitsAnswers))
		Expect(standing(time.Second)).To(Equal(exchange.NoAnswers))
		c.Use()
		c.Failed("g2", 2, false, at(time.Second))
		c.Known(peers(3, 9), 2, at(2*time.Second))
		// The store may be about to tell it.
		Expect(c.Next(at(2*time.Second + 490*time.Millisecond))).To(BeEmpty())
		Expect(names(c.Next(at(2*time.Second + 500*time.Millisecond)))).To(Equal([]string{"g2"}))
		c.Answered("g2", 2, 9, at(3*time.Second))
		c.Has(9)
		Expect(c.Next(at(4 * time.Second))).To(BeEmpty())
	})

	It("waits for what is used and can't be handed over, from when it was told in this timeline", func() {
		c.Known(peers(9), 1, at(0))
		read(time.Minute, 9)
		for since := time.Minute; since < time.Minute+9*time.Second; since += time.Second {
			Expect(names(c.Next(at(since)))).To(Equal([]string{"g1"}))
			Expect(c.Next(at(since))).To(BeEmpty())
			c.Failed("g1", 2, true, at(since))
			Expect(standing(since)).To(Equal(exchange.AwaitsConfig))
		}
		Expect(standing(time.Minute + 10*time.Second)).To(Equal(exchange.NoConfig))
	})

	It("counts no answers of a former timeline, and no late one of it", func() {
		read(0, 3, 3)
		c.Next(at(0))
		c.Answered("g1", 2, 3, at(0))
		c.Read(3, at(time.Second))
		c.Known(peers(3, 3), 3, at(time.Second))
		c.Answered("g2", 2, 3, at(time.Second))
		Expect(standing(time.Second)).To(Equal(exchange.AwaitsAnswers))
		Expect(names(c.Next(at(time.Second)))).To(ConsistOf("g1", "g2"))
	})

	It("asks a few of many, each process others, and waits for no more answers than do", func() {
		read(0, make([]uint64, 300)...)
		first := names(c.Next(at(0)))
		Expect(first).To(HaveLen(8))
		other := exchange.NewCatchUp("other")
		other.Read(2, at(0))
		other.Known(peers(make([]uint64, 300)...), 2, at(0))
		Expect(names(other.Next(at(0)))).NotTo(ConsistOf(first))
		for _, name := range first[:3] {
			Expect(standing(0)).To(Equal(exchange.AwaitsAnswers))
			c.Answered(name, 2, 3, at(0))
		}
		Expect(standing(0)).To(Equal(exchange.Confirmed))
		Expect(c.Next(at(0))).To(BeEmpty())
	})
})
