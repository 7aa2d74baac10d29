package cluster_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

var _ = Describe("View", func() {
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }
	names := func(cards []cluster.Card) []string {
		list := []string{}
		for _, c := range cards {
			list = append(list, c.Instance)
		}
		return list
	}

	It("takes a gateway for dead whose row does not change, and no other", func() {
		v := cluster.NewView(3*time.Second, 3*time.Second)
		for i := range 6 {
			v.Read([]cluster.Card{{Instance: "a", Sequence: uint64(i)}, {Instance: "b", Sequence: 1}}, at(time.Duration(i)*time.Second))
		}
		Expect(names(v.Live())).To(Equal([]string{"a"}))
	})

	It("counts the silence from when a row was written, which is after the read before", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Read([]cluster.Card{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}, at(0))
		v.Read([]cluster.Card{{Instance: "a", Sequence: 2}, {Instance: "b", Sequence: 2, Age: 1800 * time.Millisecond}}, at(2*time.Second))
		v.Read([]cluster.Card{{Instance: "a", Sequence: 3}, {Instance: "b", Sequence: 2, Age: 3100 * time.Millisecond}}, at(3300*time.Millisecond))
		Expect(names(v.Live())).To(Equal([]string{"a"}))
		v.Read([]cluster.Card{{Instance: "a", Sequence: 4}, {Instance: "b", Sequence: 3, Age: time.Minute}}, at(4*time.Second))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
		v.Read([]cluster.Card{{Instance: "a", Sequence: 5}, {Instance: "b", Sequence: 4, Age: 9 * time.Second}}, at(14*time.Second))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
	})

	It("does not name, at its first read, a gateway that has not written for long, unless nobody has", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Read([]cluster.Card{{Instance: "a", Sequence: 1, Age: time.Second}, {Instance: "b", Sequence: 1, Age: 4 * time.Second}}, at(0))
		Expect(names(v.Live())).To(Equal([]string{"a"}))
		v = cluster.NewView(3*time.Second, 8*time.Second)
		v.Read([]cluster.Card{{Instance: "a", Sequence: 1, Age: 5 * time.Second}, {Instance: "b", Sequence: 1, Age: 4 * time.Second}}, at(0))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
	})

	It("takes nobody for dead for time in which nothing could be read", func() {
		v := cluster.NewView(3*time.Second, 3*time.Second)
		cards := []cluster.Card{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}
		v.Read(cards, at(0))
		v.Read(cards, at(time.Minute))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
		v.Read(cards, at(time.Minute+time.Second))
		v.Read(cards, at(time.Minute+2*time.Second))
		v.Read(cards, at(time.Minute+3*time.Second))
		Expect(v.Live()).To(BeEmpty())
	})

	It("counts what dead gateways have counted", func() {
		v := cluster.NewView(time.Second, time.Second)
		v.Read([]cluster.Card{
			{Instance: "a", Windows: map[int64]map[string]uint64{7: {"x": 2}}},
			{Instance: "b", Windows: map[int64]map[string]uint64{7: {"x": 3, "y": 1}, 8: {"x": 9}}},
		}, at(0))
		Expect(v.Count(7)).To(Equal(map[string]uint64{"x": 5, "y": 1}))
	})

	It("knows up to when all have told their counts, whatever time was without reads", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Read([]cluster.Card{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}, at(0))
		Expect(v.Told()).To(Equal(at(0)))
		v.Read([]cluster.Card{{Instance: "a", Sequence: 2}, {Instance: "b", Sequence: 1}}, at(60*time.Second))
		Expect(v.Told()).To(Equal(at(0)))
		v.Read([]cluster.Card{{Instance: "a", Sequence: 3}, {Instance: "b", Sequence: 2}}, at(61*time.Second))
		Expect(v.Told()).To(Equal(at(61 * time.Second)))
	})

	It("names a few candidates, and others when those fall silent", func() {
		v := cluster.NewView(2*time.Second, 2*time.Second)
		card := func(name string, sequence int) cluster.Card {
			return cluster.Card{Instance: name, Sequence: uint64(sequence), Ready: true}
		}
		Expect(v.IsCandidate("d", 2)).To(BeTrue())
		for i := range 4 {
			v.Read([]cluster.Card{card("a", 1), card("b", i), card("c", i), card("d", i)}, at(time.Duration(i)*time.Second))
			if i == 0 {
				Expect(v.IsCandidate("a", 2)).To(BeTrue())
				Expect(v.IsCandidate("c", 2)).To(BeFalse())
			}
		}
		Expect(v.IsCandidate("a", 2)).To(BeFalse())
		Expect(v.IsCandidate("c", 2)).To(BeTrue())
		Expect(v.IsCandidate("d", 2)).To(BeFalse())
	})

	It("takes the median of the clocks", func() {
		v := cluster.NewView(time.Second, time.Second)
		v.Read([]cluster.Card{{Instance: "a", Offset: 100}, {Instance: "b", Offset: 101}, {Instance: "c", Offset: -5000}}, at(0))
		offset, ok := v.Offset()
		Expect(ok).To(BeTrue())
		Expect(offset).To(Equal(time.Duration(100)))
	})

	It("refuses rows of others", func() {
		card := cluster.Card{Instance: "a", Demand: map[string]float64{"x": 2}}
		value, err := card.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(cluster.Decode("a", value)).To(Equal(card))
		_, err = cluster.Decode("b", value)
		Expect(err).To(BeAssignableToTypeOf(&cluster.CardError{}))
		_, err = cluster.Decode("a", []byte("odd"))
		Expect(err).To(BeAssignableToTypeOf(&cluster.CardError{}))
	})
})

// TestShares checks that the parts of all gateways are within the whole, for
// demands as all of them read them.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "gateways")
		cards := make([]cluster.Card, count)
		for i := range cards {
			cards[i] = cluster.Card{Instance: string(rune('a' + i)), Sequence: 1, Demand: map[string]float64{"x": rapid.Float64Range(0, 100).Draw(t, "demand")}}
		}
		sum := 0.0
		for i := range cards {
			v := cluster.NewView(time.Second, time.Second)
			v.Read(cards, clock.Instant(time.Hour))
			v.Read(cards, clock.Instant(time.Hour+1))
			share, ok := v.Shares(cards[i].Instance)["x"]
			if !ok {
				share = 1 / float64(count)
			}
			sum += share
		}
		if sum > 1.0001 {
			t.Fatalf("the parts sum up to %f", sum)
		}
	})
}
