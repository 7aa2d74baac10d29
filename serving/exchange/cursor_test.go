package exchange_test

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// Guards against followers that refuse what is new in a restored store since its versions
// are lower, or go on from versions that it has given out again (DRAIN, CONFIG).
var _ = Describe("Cursor", func() {
	end := func(timeline, version uint64) exchange.Position {
		return exchange.Position{Timeline: timeline, Version: version}
	}
	list := func(timeline, version uint64) exchange.Span {
		return exchange.Span{End: end(timeline, version), IsList: true}
	}
	changes := func(timeline, version, since uint64) exchange.Span {
		return exchange.Span{End: end(timeline, version), Since: since}
	}
	DescribeTable("judges an update after a list of timeline 3 at version 40",
		func(s exchange.Span, verdict exchange.Verdict) {
			var c exchange.Cursor
			Expect(c.Accept(list(3, 40))).To(Equal(exchange.Applied))
			Expect(c.Accept(s)).To(Equal(verdict))
			if verdict.IsApplied() {
				Expect(c.Position()).To(Equal(s.End))
			} else {
				Expect(c.Position()).To(Equal(end(3, 40)))
			}
		},
		Entry("a later list", list(3, 41), exchange.Applied),
		Entry("the same list", list(3, 40), exchange.Applied),
		Entry("an earlier list", list(3, 39), exchange.Stale),
		Entry("the next changes", changes(3, 41, 40), exchange.Applied),
		Entry("no changes", changes(3, 40, 40), exchange.Applied),
		Entry("changes since before", changes(3, 45, 12), exchange.Applied),
		Entry("changes up to before", changes(3, 39, 12), exchange.Stale),
		Entry("changes with others missing before", changes(3, 45, 42), exchange.Gap),
		Entry("a list of the next timeline with a lower version", list(4, 3), exchange.Restored),
		Entry("a list of a timeline after the next", list(9, 90), exchange.Restored),
		Entry("changes of the next timeline that seem to go on", changes(4, 41, 40), exchange.Gap),
		Entry("changes of the next timeline with a lower version", changes(4, 10, 9), exchange.Gap),
		Entry("no changes of the next timeline at the same version", changes(4, 40, 40), exchange.Gap),
		Entry("a late list of a former timeline", list(2, 90), exchange.Stale),
		Entry("late changes of a former timeline", changes(2, 41, 40), exchange.Stale),
		Entry("a list of an unknown timeline", list(0, 90), exchange.Stale),
		Entry("changes of an unknown timeline", changes(0, 41, 40), exchange.Stale),
	)

	It("takes no changes before a list", func() {
		var c exchange.Cursor
		Expect(c.Accept(changes(1, 5, 0))).To(Equal(exchange.Gap))
		Expect(c.Accept(changes(0, 5, 0))).To(Equal(exchange.Gap))
		Expect(c.Position()).To(BeZero())
	})

	It("reads the whole table once when a store begins to tell its timeline", func() {
		var c exchange.Cursor
		c.Accept(list(0, 40))
		Expect(c.Accept(changes(0, 41, 40))).To(Equal(exchange.Applied))
		Expect(c.Accept(changes(1, 42, 41))).To(Equal(exchange.Gap))
		Expect(c.Accept(list(1, 42))).To(Equal(exchange.Restored))
		Expect(c.Accept(changes(1, 43, 42))).To(Equal(exchange.Applied))
	})
})

// Guards against a hub and a follower that are in two timelines of the store and take each
// other's changes for those that they lack.
var _ = Describe("TableCopy of a hub and a follower in two timelines", func() {
	list := func(timeline, version uint64, entries ...exchange.Entry) exchange.TableUpdate {
		return exchange.TableUpdate{Timeline: timeline, Version: version, Full: true, Available: true, Entries: entries}
	}

	It("passes the whole table on to a follower of the former timeline, however low the versions", func() {
		hub, follower := exchange.NewTableCopy("t"), exchange.NewTableCopy("t")
		follower.Apply(list(1, 2000, entry("left", 3), entry("lost", 1990)), at(0))
		hub.Apply(list(2, 45, entry("new", 44)), at(0))
		news := hub.Since(follower.Position(), at(0))
		Expect(news.Full).To(BeTrue())
		Expect(follower.Apply(news, at(0))).To(Equal(exchange.Restored))
		Expect(follower.Since(exchange.Position{}, at(0)).Entries).To(ConsistOf(entry("new", 44)))
	})

	It("takes nothing from a hub that is behind", func() {
		hub, follower := exchange.NewTableCopy("t"), exchange.NewTableCopy("t")
		hub.Apply(list(1, 2000, entry("old", 1990)), at(0))
		follower.Apply(list(2, 45, entry("new", 44)), at(0))
		Expect(follower.Apply(hub.Since(follower.Position(), at(0)), at(0))).To(Equal(exchange.Stale))
		Expect(follower.Apply(hub.Since(exchange.Position{}, at(0)), at(0))).To(Equal(exchange.Stale))
		Expect(follower.Since(exchange.Position{}, at(0)).Entries).To(ConsistOf(entry("new", 44)))
	})

	It("serves a follower of a former release, which names no timeline, by its versions", func() {
		hub := exchange.NewTableCopy("t")
		hub.Apply(list(2, 45, entry("a", 44)), at(0))
		hub.Apply(exchange.TableUpdate{Timeline: 2, Version: 47, Since: 45, Entries: []exchange.Entry{entry("b", 46)}}, at(0))
		former := exchange.Poll{Versions: map[string]uint64{"t": 45}}
		news := hub.Since(former.TablePosition("t", hub.Position().Timeline), at(0))
		Expect(news.Full).To(BeFalse())
		Expect(news.Entries).To(ConsistOf(entry("b", 46)))
	})

	It("tells its timeline in a poll", func() {
		var p exchange.Poll
		p.Record.Instance = "g"
		p.SetTablePosition("t", exchange.Position{Timeline: 3, Version: 7})
		p.SetTablePosition("u", exchange.Position{})
		body, err := p.Encode()
		Expect(err).NotTo(HaveOccurred())
		got, err := exchange.DecodePoll(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.TablePosition("t", 9)).To(Equal(exchange.Position{Timeline: 3, Version: 7}))
		Expect(got.TablePosition("u", 9)).To(BeZero())
	})
})

// restoredStore is a model of a table in a store that is restored from older copies.
type restoredStore struct {
	at     exchange.Position
	rows   map[string]exchange.Entry
	copies []map[string]exchange.Entry // by version, in the present timeline
	states map[exchange.Position]map[string]uint64
}

func newRestoredStore() *restoredStore {
	s := &restoredStore{
		at: exchange.Position{Timeline: 1, Version: 1}, rows: map[string]exchange.Entry{}, states: map[exchange.Position]map[string]uint64{},
	}
	s.copies = []map[string]exchange.Entry{{}, {}}
	s.note()
	return s
}

// note keeps the state at the present position.
func (s *restoredStore) note() {
	live := map[string]uint64{}
	for key, e := range s.rows {
		if !e.Removed {
			live[key] = e.Version
		}
	}
	s.states[s.at] = live
}

func (s *restoredStore) write(key string, isRemoved bool) {
	s.at.Version++
	s.rows[key] = exchange.Entry{Key: key, Version: s.at.Version, Removed: isRemoved}
	s.copies = append(s.copies, maps.Clone(s.rows))
	s.note()
}

func (s *restoredStore) restore(version uint64) {
	s.at = exchange.Position{Timeline: s.at.Timeline + 1, Version: version}
	s.rows = maps.Clone(s.copies[version])
	s.copies = s.copies[:version+1]
	s.note()
}

// read returns a list, or the changes since a version; a list if the store does not have
// that.
func (s *restoredStore) read(since uint64, isList bool) exchange.TableUpdate {
	isList = isList || since > s.at.Version
	u := exchange.TableUpdate{Version: s.at.Version, Timeline: s.at.Timeline, Full: isList, Available: true}
	if !isList {
		u.Since = since
	}
	for _, e := range s.rows {
		if (isList && !e.Removed) || (!isList && e.Version > since) {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}

// TestCopiesFollowARestoredStore guards against gateways with a state that the store never
// had, after it was restored from older copies: they get their updates from the store and
// from hubs of any timeline, also late. Each position that they claim must be one of the
// store, with the rows that it had there, and one list brings them up to date.
func TestCopiesFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newRestoredStore()
		copies := []*exchange.TableCopy{exchange.NewTableCopy("t"), exchange.NewTableCopy("t"), exchange.NewTableCopy("t")}
		var late []exchange.TableUpdate
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := copies[rapid.IntRange(0, 2).Draw(t, "gateway")]
			var u exchange.TableUpdate
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "removed"))
				continue
			case 2:
				store.restore(uint64(rapid.IntRange(1, int(store.at.Version)).Draw(t, "version")))
				continue
			case 3:
				u = store.read(c.Position().Version, false)
			case 4:
				u = store.read(0, true)
			case 5:
				u = copies[rapid.IntRange(0, 2).Draw(t, "hub")].Since(c.Position(), at(0))
			default:
				if len(late) == 0 {
					continue
				}
				u = late[rapid.IntRange(0, len(late)-1).Draw(t, "late")]
			}
			late = append(late, u)
			if c.Apply(u, at(0)) == exchange.Gap && u.Timeline == store.at.Timeline {
				c.Apply(store.read(0, true), at(0))
			}
			if got, want := rowsOf(c), store.states[c.Position()]; c.Position().Version > 0 && !maps.Equal(got, want) {
				t.Fatalf("at %+v the copy holds %v, the store held %v", c.Position(), got, want)
			}
		}
		for _, c := range copies {
			c.Apply(store.read(0, true), at(0))
			if c.Position() != store.at || !maps.Equal(rowsOf(c), store.states[store.at]) {
				t.Fatalf("a list at %+v leaves the copy at %+v with %v", store.at, c.Position(), rowsOf(c))
			}
		}
	})
}

// rowsOf returns the versions of the rows of a copy.
func rowsOf(c *exchange.TableCopy) map[string]uint64 {
	got := map[string]uint64{}
	for _, e := range c.Since(exchange.Position{}, at(0)).Entries {
		if !e.Removed {
			got[e.Key] = e.Version
		}
	}
	return got
}
