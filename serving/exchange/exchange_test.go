package exchange_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

func TestExchange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exchange")
}

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }

func entry(key string, version uint64) exchange.Entry {
	return exchange.Entry{Key: key, Value: []byte(key), Version: version}
}

func gateways(domains, each int) []cluster.Record {
	var list []cluster.Record
	for d := range domains {
		for i := range each {
			list = append(list, cluster.Record{
				Instance: fmt.Sprintf("gateway-%d-%d", d, i), FailureDomain: fmt.Sprintf("domain-%d", d),
				PeerAddress: fmt.Sprintf("10.0.%d.%d:7600", d, i), Ready: true,
			})
		}
	}
	return list
}

var _ = Describe("TableCopy", func() {
	It("returns what has changed since a version, removals included", func() {
		t := exchange.NewTableCopy("t")
		t.Apply(exchange.TableUpdate{Full: true, Version: 10, Entries: []exchange.Entry{entry("a", 3), entry("b", 9)}}, at(0))
		t.Apply(exchange.TableUpdate{Version: 12, Entries: []exchange.Entry{entry("c", 11), {Key: "a", Version: 12, Removed: true}}}, at(time.Second))
		u := t.Since(exchange.Position{Version: 10}, at(2*time.Second))
		Expect(u.Full).To(BeFalse())
		Expect(u.Version).To(Equal(uint64(12)))
		Expect(u.Age).To(Equal(time.Second))
		Expect(u.Entries).To(ConsistOf(entry("c", 11), exchange.Entry{Key: "a", Version: 12, Removed: true}))
		Expect(t.Since(exchange.Position{Version: 12}, at(0)).Entries).To(BeEmpty())
	})

	It("returns the whole table to a gateway whose version it can't tell changes from", func() {
		t := exchange.NewTableCopy("t")
		t.Apply(exchange.TableUpdate{Full: true, Version: 10, Entries: []exchange.Entry{entry("b", 9)}}, at(0))
		u := t.Since(exchange.Position{Version: 7}, at(0))
		Expect(u.Full).To(BeTrue())
		Expect(u.Entries).To(ConsistOf(entry("b", 9)))
	})

	It("never goes back, and takes no changes before the whole table", func() {
		t := exchange.NewTableCopy("t")
		t.Apply(exchange.TableUpdate{Version: 5, Entries: []exchange.Entry{entry("x", 5)}}, at(0))
		Expect(t.Position()).To(BeZero())
		t.Apply(exchange.TableUpdate{Full: true, Version: 10, Entries: []exchange.Entry{entry("a", 3)}}, at(0))
		t.Apply(exchange.TableUpdate{Full: true, Version: 8, Entries: []exchange.Entry{entry("old", 3)}}, at(time.Second))
		Expect(t.Since(exchange.Position{Version: 0}, at(time.Second)).Entries).To(ConsistOf(entry("a", 3)))
	})

	It("is not current when a call to the store has failed, or long after the last one", func() {
		t := exchange.NewTableCopy("t")
		Expect(t.Since(exchange.Position{Version: 0}, at(0)).IsCurrent()).To(BeFalse())
		t.Apply(exchange.TableUpdate{Full: true, Version: 10}, at(0))
		Expect(t.Since(exchange.Position{Version: 0}, at(time.Second)).IsCurrent()).To(BeTrue())
		Expect(t.Since(exchange.Position{Version: 0}, at(2*time.Second)).IsCurrent()).To(BeFalse())
		t.Unavailable()
		Expect(t.Since(exchange.Position{Version: 0}, at(0)).IsCurrent()).To(BeFalse())
	})

	It("bounds the removals that it remembers", func() {
		t := exchange.NewTableCopy("t")
		t.Apply(exchange.TableUpdate{Full: true, Version: 1}, at(0))
		for i := range uint64(10_000) {
			t.Apply(exchange.TableUpdate{Version: i + 2, Entries: []exchange.Entry{{Key: fmt.Sprint(i), Version: i + 2, Removed: true}}}, at(0))
		}
		Expect(len(t.Since(exchange.Position{Version: 1}, at(0)).Entries)).To(BeZero())
		Expect(t.Since(exchange.Position{Version: 1}, at(0)).Full).To(BeTrue())
	})
})

// TestCopiesFollowTheStore checks that a gateway that gets its news now from one hub
// and now from another, or from the store itself, always has the state that the
// store had at the version which the gateway says it has.
func TestCopiesFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]exchange.Entry{}
		states := map[uint64]map[string]uint64{0: {}} // by version: the version of each live row
		version := uint64(1)
		states[1] = map[string]uint64{}
		write := func() {
			version++
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			store[key] = exchange.Entry{Key: key, Version: version, Removed: rapid.Bool().Draw(t, "removed")}
			live := map[string]uint64{}
			for k, e := range store {
				if !e.Removed {
					live[k] = e.Version
				}
			}
			states[version] = live
		}
		read := func(since uint64, full bool) exchange.TableUpdate {
			u := exchange.TableUpdate{Table: "t", Version: version, Since: since, Full: full, Available: true}
			for _, e := range store {
				if (full && !e.Removed) || (!full && e.Version > since) {
					u.Entries = append(u.Entries, e)
				}
			}
			return u
		}
		copies := []*exchange.TableCopy{exchange.NewTableCopy("t"), exchange.NewTableCopy("t"), exchange.NewTableCopy("t")}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := copies[rapid.IntRange(0, 2).Draw(t, "gateway")]
			switch rapid.SampledFrom([]string{"write", "list", "feed", "news", "restart"}).Draw(t, "step") {
			case "write":
				write()
			case "list":
				c.Apply(read(0, true), at(0))
			case "feed":
				if c.Position().Version > 0 {
					c.Apply(read(c.Position().Version, false), at(0))
				}
			case "news":
				c.Apply(copies[rapid.IntRange(0, 2).Draw(t, "hub")].Since(c.Position(), at(0)), at(0))
			case "restart":
				*c = *exchange.NewTableCopy("t")
			}
			got := map[string]uint64{}
			for _, e := range c.Since(exchange.Position{}, at(0)).Entries {
				if !e.Removed {
					got[e.Key] = e.Version
				}
			}
			want := states[c.Position().Version]
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("at version %d the copy holds %v, the store held %v", c.Position().Version, got, want)
			}
		}
	})
}

var _ = Describe("RecordLog", func() {
	record := func(name string, incarnation, sequence uint64, written time.Duration) cluster.Record {
		return cluster.Record{Instance: name, Incarnation: incarnation, Sequence: sequence, WrittenAt: written}
	}

	It("keeps the newest record of each gateway, also of one whose clock went back", func() {
		l := exchange.NewRecordLog()
		Expect(l.Put(record("a", 50, 7, 10*time.Second))).To(BeTrue())
		Expect(l.Put(record("a", 50, 6, 11*time.Second))).To(BeFalse())
		Expect(l.Put(record("a", 40, 1, 12*time.Second))).To(BeTrue())
		Expect(l.Put(record("a", 50, 9, 10*time.Second))).To(BeFalse())
		list, _ := l.Since(0)
		Expect(list).To(HaveLen(1))
		Expect(list[0].Incarnation).To(Equal(uint64(40)))
	})

	It("returns only what was added after a position", func() {
		l := exchange.NewRecordLog()
		l.Put(record("a", 1, 1, time.Second))
		_, position := l.Since(0)
		l.Put(record("b", 1, 1, time.Second))
		list, _ := l.Since(position)
		Expect(list).To(HaveLen(1))
		Expect(list[0].Instance).To(Equal("b"))
	})

	It("drops the records of gateways that are gone from the store, once they are old", func() {
		l := exchange.NewRecordLog()
		l.Put(record("gone", 1, 1, time.Second))
		l.Put(record("new", 1, 1, 50*time.Second))
		l.Put(record("there", 1, 1, time.Second))
		l.Keep(map[string]bool{"there": true}, time.Minute, 30*time.Second)
		var names []string
		for _, r := range l.All(time.Minute) {
			names = append(names, r.Instance)
		}
		Expect(names).To(ConsistOf("new", "there"))
	})
})

var _ = Describe("Hubs", func() {
	It("are a few in each failure domain, the same whatever the order of the records", func() {
		list := gateways(5, 8)
		hubs := exchange.Hubs(list)
		Expect(hubs).To(HaveLen(5))
		reversed := make([]cluster.Record, len(list))
		for i, r := range list {
			reversed[len(list)-1-i] = r
		}
		Expect(exchange.Hubs(reversed)).To(Equal(hubs))
		Expect(exchange.Hubs(gateways(3, 100))).To(HaveLen(15))
	})

	It("are two at least, none in a small cluster, and none of an older release", func() {
		Expect(exchange.Hubs(gateways(1, 12))).To(HaveLen(2))
		Expect(exchange.Hubs(gateways(1, 4))).To(BeEmpty())
		old := gateways(2, 6)
		for i := range old {
			old[i].PeerAddress = ""
		}
		Expect(exchange.Hubs(old)).To(BeEmpty())
	})
})

var _ = Describe("Plan", func() {
	It("polls a hub of its failure domain, another one while that does not answer", func() {
		p := exchange.NewPlan("gateway-1-7", "domain-1")
		p.SetHubs(exchange.Hubs(gateways(3, 10)), 30)
		first, ok := p.Next(at(0))
		Expect(ok).To(BeTrue())
		Expect(first.FailureDomain).To(Equal("domain-1"))
		p.Failed(first.Instance, at(0))
		second, ok := p.Next(at(0))
		Expect(ok).To(BeTrue())
		Expect(second.Instance).NotTo(Equal(first.Instance))
		again, _ := p.Next(at(time.Minute))
		Expect(again.Instance).To(Equal(first.Instance))
	})

	It("polls less often in a large cluster, but not so seldom that news gets old", func() {
		p := exchange.NewPlan("x", "domain-0")
		hubs := exchange.Hubs(gateways(2, 5))
		p.SetHubs(hubs, 10)
		small := p.Interval()
		p.SetHubs(hubs, 1000)
		Expect(p.Interval()).To(BeNumerically(">", small))
		Expect(p.Interval()).To(BeNumerically("<=", time.Second))
	})

	It("polls nothing while no hub answers", func() {
		p := exchange.NewPlan("x", "domain-0")
		hubs := exchange.Hubs(gateways(2, 5))
		p.SetHubs(hubs, 10)
		for range hubs {
			hub, ok := p.Next(at(0))
			Expect(ok).To(BeTrue())
			p.Failed(hub.Instance, at(0))
		}
		_, ok := p.Next(at(0))
		Expect(ok).To(BeFalse())
	})

	It("lets a hub poll all others in turn", func() {
		hubs := exchange.Hubs(gateways(5, 8))
		p := exchange.NewPlan(hubs[0].Instance, hubs[0].FailureDomain)
		p.SetHubs(hubs, 40)
		Expect(p.IsHub()).To(BeTrue())
		polled := map[string]bool{}
		for range len(hubs) - 1 {
			hub, _ := p.Next(at(0))
			polled[hub.Instance] = true
		}
		Expect(polled).To(HaveLen(len(hubs) - 1))
		Expect(polled).NotTo(HaveKey(hubs[0].Instance))
	})
})

var _ = Describe("Messages", func() {
	It("are encoded and decoded", func() {
		poll := exchange.Poll{Record: cluster.Record{Instance: "a", Used: map[string]limit.Use{"x": {2}}}, Hub: 4, Position: 9, Versions: map[string]uint64{"t": 3}}
		body, err := poll.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(exchange.DecodePoll(body)).To(Equal(poll))
		news := exchange.News{Hub: 4, Position: 10, Clock: time.Second, Tables: []exchange.TableUpdate{{Table: "t", Version: 4, Entries: []exchange.Entry{entry("k", 4)}}}}
		body, err = news.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(exchange.DecodeNews(body)).To(Equal(news))
	})

	It("are rejected if they are malformed or name no sender", func() {
		_, err := exchange.DecodePoll([]byte("odd"))
		Expect(err).To(BeAssignableToTypeOf(&exchange.DecodeError{}))
		body, _ := exchange.Poll{}.Encode()
		_, err = exchange.DecodePoll(body)
		Expect(err).To(BeAssignableToTypeOf(&exchange.DecodeError{}))
		_, err = exchange.DecodeNews([]byte{0xff})
		Expect(err).To(BeAssignableToTypeOf(&exchange.DecodeError{}))
	})
})

func FuzzDecodePoll(f *testing.F) {
	body, _ := exchange.Poll{Record: cluster.Record{Instance: "a"}}.Encode()
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = exchange.DecodePoll(body)
		_, _ = exchange.DecodeNews(body)
	})
}

var _ = Describe("RecordLog between hubs", func() {
	record := func(name string, sequence uint64, counts uint64) cluster.Record {
		r := cluster.Record{Instance: name, Incarnation: 1, Sequence: sequence}
		if counts > 0 {
			r.Windows = map[int64]map[string]uint64{7: {"x": counts}}
		}
		return r
	}

	It("tells apart what came from the gateways themselves, so that no record passes two hubs", func() {
		l := exchange.NewRecordLog()
		l.PutFirstHand(record("a", 1, 0))
		l.Put(record("b", 1, 0))
		list, last := l.FirstHandSince(0)
		Expect(list).To(HaveLen(1))
		Expect(list[0].Instance).To(Equal("a"))
		l.PutFirstHand(record("b", 2, 0))
		list, _ = l.FirstHandSince(last)
		Expect(list).To(HaveLen(1))
		Expect(list[0].Instance).To(Equal("b"))
		all, _ := l.Since(0)
		Expect(all).To(HaveLen(2))
	})

	It("takes the counts of a record that it has without them, but gives none up", func() {
		l := exchange.NewRecordLog()
		l.Put(record("a", 3, 0))
		Expect(l.Put(record("a", 3, 5))).To(BeTrue())
		Expect(l.Put(record("a", 3, 0))).To(BeFalse())
		Expect(l.All(0)[0].Windows[7]["x"]).To(Equal(uint64(5)))
	})
})
