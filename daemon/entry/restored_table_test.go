package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

var _ = ginkgo.Describe("watch of the upstreams of a store that is restored from an older copy", func() {
	const ready, leaving = "ready", "draining"
	start := clock.Instant(time.Hour)
	var w *watch
	var t *watchedTable
	ginkgo.BeforeEach(func() {
		w = newWatch("g")
		w.propagationLimit, w.log, w.metrics = 2*time.Second, zerolog.Nop(), newMetrics(prometheus.NewRegistry())
		w.dispatch, w.cluster = ring.New[dispatchMessage]("dispatch", 64), ring.New[clusterMessage]("cluster", 64)
		w.peers = ring.New[peerMessage]("peers", 64)
		t = w.tables[served.UpstreamTable]
	})
	upstream := func(id, state string, version uint64) rows.Row {
		value := `{"service":"app","address":"10.0.0.1:80","zone":"z","slots":4,"state":"` + state + `","born":7}`
		return rows.Row{Key: row.Key{Sort: id}, Value: []byte(value), Version: version}
	}
	page := func(timeline, version uint64, list ...rows.Row) rows.Page {
		return rows.Page{Timeline: timeline, Version: version, Rows: list}
	}
	read := func(since uint64, p rows.Page, isList bool, now clock.Instant) {
		t.calling, t.calledAt, t.calledSince = true, now, since
		w.handle(watchMessage{table: t.table, page: p, isList: isList}, now)
	}
	usable := func(now clock.Instant) (ids []string) {
		for _, u := range w.roster.Usable(now) {
			ids = append(ids, u.ID)
		}
		return ids
	}

	// Guards against requests to an upstream that leaves in the restored store while its
	// versions are below the former ones (DRAIN).
	ginkgo.It("follows the new timeline at once, with one list and no more", func() {
		read(0, page(1, 2000, upstream("a", ready, 5), upstream("b", ready, 6)), true, start)
		now := start.Add(time.Second)
		read(2000, page(2, 2000), false, now)
		Expect(t.needsList).To(BeTrue())
		Expect(w.callDue(t)).To(Equal(now))
		read(2000, page(2, 45, upstream("a", ready, 5), upstream("b", ready, 6)), true, now)
		Expect(t.needsList).To(BeFalse())
		read(45, page(2, 46, upstream("b", leaving, 46)), false, now.Add(time.Second))
		Expect(usable(now.Add(time.Second))).To(ConsistOf("a"))
		Expect(t.needsList).To(BeFalse())
	})

	// Guards against requests to an upstream that was removed as soon as the store was back, for
	// longer than sound ones need to write again: the restore was noticed late.
	ginkgo.It("keeps what the copy lacks from the time at which the store was back, not from the list", func() {
		read(0, page(1, 40, upstream("a", ready, 5), upstream("b", ready, 6)), true, start)
		t.calling, t.calledAt, t.calledSince = true, start, 40
		now := start.Add(time.Second)
		w.handle(watchMessage{table: t.table, page: page(2, 40)}, now)
		read(40, page(2, 45, upstream("a", ready, 5)), true, now)
		Expect(usable(start.Add(recoveryGrace - 1))).To(ConsistOf("a", "b"))
		Expect(usable(start.Add(recoveryGrace))).To(ConsistOf("a"))
	})

	// Guards against sound upstreams that are dropped, since the call which showed that the
	// table must be read again was made before the store was away.
	ginkgo.It("keeps it for as long if the store was away after a call that asked for the whole table", func() {
		read(0, page(1, 40, upstream("a", ready, 5), upstream("b", ready, 6)), true, start)
		t.calling, t.calledAt = true, start
		w.handle(watchMessage{table: t.table, err: &rows.HistoryError{}}, start)
		t.calling, t.calledAt = true, start
		w.handle(watchMessage{table: t.table, err: &row.UnavailableError{Err: &rows.StatusError{Status: 503}}}, start.Add(time.Second))
		now := start.Add(5 * time.Second)
		read(40, page(2, 45, upstream("a", ready, 5)), true, now)
		Expect(usable(now.Add(recoveryGrace - 1))).To(ConsistOf("a", "b"))
	})

	// Guards against changes that are lost since a long poll from before the restore is
	// answered after the first list of the new timeline.
	ginkgo.It("reads the table again after changes since a version that it does not have", func() {
		read(0, page(2, 45, upstream("a", ready, 5), upstream("b", ready, 6)), true, start)
		read(50, page(2, 52, upstream("c", ready, 52)), false, start)
		Expect(t.needsList).To(BeTrue())
		Expect(usable(start)).To(ConsistOf("a", "b"))
		read(50, page(2, 52, upstream("a", ready, 5), upstream("c", ready, 52)), true, start)
		Expect(usable(start)).To(ConsistOf("a", "c"))
	})

	// Guards against a gateway that relies on a hub which has not noticed the restore, or on
	// one of a former release which does not tell its timeline.
	ginkgo.It("counts no news of a hub that is in another timeline", func() {
		read(0, page(2, 45, upstream("a", ready, 5)), true, start)
		due := w.callDue(t)
		for _, timeline := range []uint64{0, 1} {
			behind := exchange.TableUpdate{Table: t.table, Timeline: timeline, Version: 2000, Full: true, Available: true}
			w.handle(watchMessage{updates: []exchange.TableUpdate{behind}, sentAt: start.Add(time.Second)}, start.Add(time.Second))
			Expect(w.callDue(t)).To(Equal(due))
			Expect(usable(start)).To(ConsistOf("a"))
		}
	})

	// Guards against requests to an upstream that has left, since the copy from which the store
	// was restored still calls it ready; it comes from the store, or from a hub.
	ginkgo.It("takes back from no list of the new timeline what it knew", func() {
		for _, isNews := range []bool{false, true} {
			w.tables[t.table], w.roster = &watchedTable{table: t.table, needsList: true}, roster.New(recoveryGrace)
			t = w.tables[t.table]
			read(0, page(1, 2000, upstream("a", ready, 5), upstream("b", leaving, 1990)), true, start)
			copied := page(2, 45, upstream("a", ready, 5), upstream("b", ready, 6))
			if isNews {
				news := updateOf(t.table, copied, spanOf(copied, true, 0))
				w.handle(watchMessage{updates: []exchange.TableUpdate{news}, sentAt: start}, start)
			} else {
				read(2000, copied, true, start)
			}
			Expect(t.cursor.Position().Timeline).To(BeEquivalentTo(2))
			Expect(usable(start.Add(time.Minute))).To(ConsistOf("a"))
		}
	})

	// Guards against an outage that nobody had: a late response of the former timeline says
	// nothing of the store.
	ginkgo.It("takes a late response of the former timeline for no outage", func() {
		read(0, page(1, 2000, upstream("a", ready, 5)), true, start)
		t.calling, t.calledAt = true, start
		late := &row.UnavailableError{Err: &row.TimelineError{Call: 2, Response: 1}}
		w.handle(watchMessage{table: t.table, err: late}, start.Add(time.Second))
		Expect(t.isUnavailable).To(BeFalse())
		Expect(t.needsList).To(BeTrue())
		Expect(w.callDue(t)).To(BeNumerically(">", start.Add(time.Second)))
	})
})
