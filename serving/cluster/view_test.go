package cluster_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

var _ = Describe("View", func() {
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }
	names := func(records []cluster.Record) []string {
		list := []string{}
		for _, c := range records {
			list = append(list, c.Instance)
		}
		return list
	}

	It("keeps a gateway live only while its record changes", func() {
		v := cluster.NewView(3*time.Second, 3*time.Second)
		for i := range 6 {
			v.Update([]cluster.Record{{Instance: "a", Sequence: uint64(i)}, {Instance: "b", Sequence: 1}}, at(time.Duration(i)*time.Second))
		}
		Expect(names(v.Live())).To(Equal([]string{"a"}))
	})

	It("measures the live timeout from the write of a record, which is after the previous read", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Update([]cluster.Record{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}, at(0))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 2}, {Instance: "b", Sequence: 2, Age: 1800 * time.Millisecond}}, at(2*time.Second))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 3}, {Instance: "b", Sequence: 2, Age: 3100 * time.Millisecond}}, at(3300*time.Millisecond))
		Expect(names(v.Live())).To(Equal([]string{"a"}))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 4}, {Instance: "b", Sequence: 3, Age: time.Minute}}, at(4*time.Second))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 5}, {Instance: "b", Sequence: 4, Age: 9 * time.Second}}, at(14*time.Second))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
	})

	It("excludes a gateway with an old record at the first read, unless all records are old", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Update([]cluster.Record{{Instance: "a", Sequence: 1, Age: time.Second}, {Instance: "b", Sequence: 1, Age: 4 * time.Second}}, at(0))
		Expect(names(v.Live())).To(Equal([]string{"a"}))
		v = cluster.NewView(3*time.Second, 8*time.Second)
		v.Update([]cluster.Record{{Instance: "a", Sequence: 1, Age: 5 * time.Second}, {Instance: "b", Sequence: 1, Age: 4 * time.Second}}, at(0))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
	})

	It("does not count time without successful reads against a gateway", func() {
		v := cluster.NewView(3*time.Second, 3*time.Second)
		records := []cluster.Record{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}
		v.Update(records, at(0))
		v.Update(records, at(time.Minute))
		Expect(names(v.Live())).To(Equal([]string{"a", "b"}))
		v.Update(records, at(time.Minute+time.Second))
		v.Update(records, at(time.Minute+2*time.Second))
		v.Update(records, at(time.Minute+3*time.Second))
		Expect(v.Live()).To(BeEmpty())
	})

	It("includes the counts of dead gateways in the usage", func() {
		v := cluster.NewView(time.Second, time.Second)
		v.Update([]cluster.Record{
			{Instance: "a", Windows: map[int64]map[string]uint64{7: {"x": 2}}},
			{Instance: "b", Windows: map[int64]map[string]uint64{7: {"x": 3, "y": 1}, 8: {"x": 9}}},
		}, at(0))
		Expect(v.Usage(7)).To(Equal(map[string]uint64{"x": 5, "y": 1}))
	})

	It("reports until when all gateways have published their counts, also after time without reads", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Update([]cluster.Record{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}, at(0))
		Expect(v.CountsPublishedUntil()).To(Equal(at(0)))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 2}, {Instance: "b", Sequence: 1}}, at(60*time.Second))
		Expect(v.CountsPublishedUntil()).To(Equal(at(0)))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 3}, {Instance: "b", Sequence: 2}}, at(61*time.Second))
		Expect(v.CountsPublishedUntil()).To(Equal(at(61 * time.Second)))
	})

	It("takes counts as published only up to the write of the record that holds them", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Update([]cluster.Record{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}, at(0))
		v.Update([]cluster.Record{{Instance: "a", Sequence: 2}, {Instance: "b", Sequence: 2, Age: 1500 * time.Millisecond}}, at(2*time.Second))
		Expect(v.CountsPublishedUntil()).To(Equal(at(500 * time.Millisecond)))
	})

	It("divides limits with all other gateways, and tells what is known of those that fell silent", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		use := func(name string, sequence uint64, used float64, age time.Duration) cluster.Record {
			return cluster.Record{
				Instance: name, PeerAddress: name + ":1", Ready: true, Sequence: sequence,
				Used: map[string]limit.Use{"x": {used}}, Reserves: map[string]limit.Reserve{"x": {Amount: 1, Pace: 2}}, CountAge: age,
			}
		}
		v.Update([]cluster.Record{use("a", 1, 1, 0), use("b", 1, 10, 0), use("c", 1, 100, 0)}, at(0))
		v.Update([]cluster.Record{use("a", 2, 2, 0), use("b", 2, 20, 0), use("c", 1, 100, 0)}, at(2*time.Second))
		v.Update([]cluster.Record{use("a", 3, 2, 0), use("b", 3, 20, 200*time.Millisecond), use("c", 1, 100, 0)}, at(3500*time.Millisecond))
		d := v.Divide("a", at(3500*time.Millisecond))
		Expect(d.Gateways).To(Equal(3))
		Expect(d.Limits.Instance).To(Equal("a"))
		Expect(d.Limits.IsReady).To(BeTrue())
		Expect(d.Limits.Share).To(BeNumerically("~", 1.0/3))
		Expect(d.Limits.Peers).To(ConsistOf(
			limit.Peer{
				Holder: limit.Holder{Instance: "b", Address: "b:1"}, IsReady: true, Share: 1.0 / 3, CountedAt: at(3300 * time.Millisecond),
				Used: map[string]limit.Use{"x": {20}}, Reserves: map[string]limit.Reserve{"x": {Amount: 1, Pace: 2}},
			},
			limit.Peer{
				Holder: limit.Holder{Instance: "c", Address: "c:1"}, Share: 1.0 / 3, CountedAt: at(0),
				Used: map[string]limit.Use{"x": {100}}, Reserves: map[string]limit.Reserve{"x": {Amount: 1, Pace: 2}},
			},
		))
	})

	It("still counts a gateway that was dropped from the division, with the share that it keeps", func() {
		v := cluster.NewView(3*time.Second, 8*time.Second)
		v.Update([]cluster.Record{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}, at(0))
		share := func(seconds int) float64 {
			v.Update([]cluster.Record{{Instance: "a", Sequence: uint64(seconds + 1)}, {Instance: "b", Sequence: 1}}, at(time.Duration(seconds)*time.Second))
			d := v.Divide("a", at(time.Duration(seconds)*time.Second))
			Expect(d.Limits.Peers).To(HaveLen(1))
			return d.Limits.Peers[0].Share
		}
		for i := 1; i < 8; i++ {
			Expect(share(i)).To(Equal(0.5))
		}
		Expect(share(9)).To(Equal(1.0))
		for i := 10; i < 16; i++ {
			share(i)
		}
		Expect(share(16)).To(BeNumerically("~", 0.35))
	})

	It("replaces a lease candidate that is no longer live", func() {
		v := cluster.NewView(2*time.Second, 2*time.Second)
		record := func(name string, sequence int) cluster.Record {
			return cluster.Record{Instance: name, Sequence: uint64(sequence), Ready: true}
		}
		Expect(v.IsCandidate("d", 2)).To(BeTrue())
		for i := range 4 {
			v.Update([]cluster.Record{record("a", 1), record("b", i), record("c", i), record("d", i)}, at(time.Duration(i)*time.Second))
			if i == 0 {
				Expect(v.IsCandidate("a", 2)).To(BeTrue())
				Expect(v.IsCandidate("c", 2)).To(BeFalse())
			}
		}
		Expect(v.IsCandidate("a", 2)).To(BeFalse())
		Expect(v.IsCandidate("c", 2)).To(BeTrue())
		Expect(v.IsCandidate("d", 2)).To(BeFalse())
	})

	It("returns the median clock offset", func() {
		v := cluster.NewView(time.Second, time.Second)
		v.Update([]cluster.Record{{Instance: "a", ClockOffset: 100}, {Instance: "b", ClockOffset: 101}, {Instance: "c", ClockOffset: -5000}}, at(0))
		offset, ok := v.ClockOffset()
		Expect(ok).To(BeTrue())
		Expect(offset).To(Equal(time.Duration(100)))
	})

	It("rejects values that are malformed or belong to another key", func() {
		record := cluster.Record{Instance: "a", Used: map[string]limit.Use{"x": {2}}}
		value, err := record.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(cluster.Decode("a", value)).To(Equal(record))
		_, err = cluster.Decode("b", value)
		Expect(err).To(BeAssignableToTypeOf(&cluster.RecordError{}))
		_, err = cluster.Decode("a", []byte("odd"))
		Expect(err).To(BeAssignableToTypeOf(&cluster.RecordError{}))
	})
})

// TestShares checks that the shares of all gateways add up to the whole limit when all of
// them have read the same records, and to less if some have fallen silent or are cut off.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "gateways")
		records := make([]cluster.Record, count)
		for i := range records {
			records[i] = cluster.Record{Instance: string(rune('a' + i)), Sequence: 1}
		}
		sum := 0.0
		for i := range records {
			v := cluster.NewView(time.Second, time.Second)
			v.Update(records, clock.Instant(time.Hour))
			now := clock.Instant(time.Hour)
			if rapid.Bool().Draw(t, "cut off") {
				now = now.Add(time.Minute)
			}
			share := v.Divide(records[i].Instance, now).Limits.Share
			if share <= 0 {
				t.Fatalf("gateway %d has the share %f", i, share)
			}
			sum += share
		}
		if sum > 1.0001 {
			t.Fatalf("the shares add up to %f", sum)
		}
	})
}
