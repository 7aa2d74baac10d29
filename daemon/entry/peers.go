package entry

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/dump"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// peers is the duty that exchanges news with other gateways: it polls hubs and, on
// a hub, answers polls. It passes records on to the cluster duty and changes of the
// followed tables to the watch duty.
type peers struct {
	inbox   *ring.Ring[peerMessage]
	cluster *ring.Ring[clusterMessage]
	watch   *ring.Ring[watchMessage]
	client  *peerClient
	clock   clock.Clock
	log     zerolog.Logger

	containment containment

	own cluster.Record
	// needsCounts is set if this gateway may have to report usage.
	needsCounts bool
	plan        *exchange.Plan
	records     *exchange.RecordLog
	tables      map[string]*exchange.TableCopy
	// positions holds, by hub, the last news from it.
	positions map[string]exchange.News
	// forwarded is the position in records up to which the cluster duty has them.
	forwarded  uint64
	polling    bool
	pollAt     clock.Instant
	newsAt     clock.Instant // of the last news
	lastHub    string
	storeClock exchange.StoreClock

	polls, failures, answered uint64
}

func newPeers(instance, failureDomain string) *peers {
	tables := make(map[string]*exchange.TableCopy)
	for _, name := range []string{served.ConfigTable, served.UpstreamTable} {
		tables[name] = exchange.NewTableCopy(name)
	}
	return &peers{
		plan:      exchange.NewPlan(instance, failureDomain),
		records:   exchange.NewRecordLog(),
		tables:    tables,
		positions: make(map[string]exchange.News),
	}
}

func (p *peers) run() error {
	for {
		now := p.clock.Now()
		wait := p.plan.Interval()
		if !p.polling {
			wait = min(wait, max(p.pollAt.Sub(now), 0))
		}
		m, ok, err := p.inbox.TakeUntil(wait)
		if err != nil {
			return nil
		}
		now = p.clock.Now()
		if ok {
			p.containment.run(m, now, func() { p.handle(m, now) })
		}
		if !p.polling && !now.Before(p.pollAt) {
			p.forwardRecords(false)
			p.poll(now)
		}
	}
}

func (p *peers) handle(m peerMessage, now clock.Instant) {
	switch m := m.(type) {
	case pollReceived:
		p.answer(m, now)
	case newsReceived:
		p.handleNews(m, now)
	case tableRead:
		p.handleTable(m)
	case setOwnRecord:
		if m.needsCounts && !p.needsCounts {
			// Hubs send all records anew, with the counts that they have left out.
			clear(p.positions)
		}
		p.own, p.needsCounts = m.record, m.needsCounts
		p.records.PutFirstHand(m.record)
		if m.isUrgent {
			p.pollAt = now
		}
	case setHubs:
		p.plan.SetHubs(m.hubs, m.gateways)
	case recordsKnown:
		m.mergeInto(p.records, m.clock)
		if m.clock != 0 {
			p.storeClock.Read(m.clock, now)
		}
	case dumpPeers:
		_ = m.reply.Offer(report.Section{Name: "peers", State: p.dump(now)})
	}
}

// poll asks the next hub for news.
func (p *peers) poll(now clock.Instant) {
	p.pollAt = now.Add(p.plan.Interval())
	hub, ok := p.plan.Next(now)
	if !ok || p.own.Instance == "" {
		return
	}
	if err := p.inbox.Reserve(); err != nil {
		p.log.Warn().Str("cause", err.Error()).Msg("call_not_made")
		return
	}
	request := p.request(hub.Instance)
	p.polling = true
	p.polls++
	p.client.poll(hub.PeerAddress, request, func(n exchange.News, err error) {
		offerResult(p.inbox, peerMessage(newsReceived{hub: hub.Instance, sentAt: now, request: request, news: n, err: err}), p.log)
	})
}

// request returns the poll of a hub.
func (p *peers) request(hub string) exchange.Poll {
	last := p.positions[hub]
	request := exchange.Poll{
		Record: p.own, Hub: last.Hub, Position: last.Position, IsHub: p.plan.IsHub(), NeedsCounts: p.needsCounts || p.plan.IsHub(),
	}
	if p.plan.IsHub() {
		return request
	}
	for name, t := range p.tables {
		request.SetTablePosition(name, t.Position())
	}
	return request
}

// handleNews takes over the news of a hub. After a failure the next hub is polled at
// once. News without counts that have become necessary since the poll is no progress:
// the next poll asks for all records.
func (p *peers) handleNews(m newsReceived, now clock.Instant) {
	p.polling = false
	if m.err != nil {
		p.failures++
		p.plan.Failed(m.hub, now)
		p.pollAt = now
		p.log.Info().Str("hub", m.hub).Str("cause", m.err.Error()).Msg("poll_failed")
		return
	}
	p.plan.Succeeded(m.hub)
	p.newsAt, p.lastHub = now, m.hub
	if m.request.NeedsCounts || !p.needsCounts {
		p.positions[m.hub] = exchange.News{Hub: m.news.Hub, Position: m.news.Position}
	}
	for _, r := range m.news.Records {
		p.records.Put(r)
	}
	p.storeClock.Heard(m.news.Clock, now)
	p.forwardRecords(true)
	p.applyTables(m.news.Tables, m.sentAt)
}

// applyTables applies the changes of tables that a hub knew to be current some time
// before the poll was sent, and passes them on to the watch duty.
func (p *peers) applyTables(updates []exchange.TableUpdate, sentAt clock.Instant) {
	current := make([]exchange.TableUpdate, 0, len(updates))
	for _, u := range updates {
		t := p.tables[u.Table]
		if t == nil || !u.IsCurrent() {
			continue
		}
		verdict := t.Apply(u, sentAt.Add(-u.Age))
		if verdict.IsApplied() {
			current = append(current, u)
		}
		if verdict == exchange.Gap {
			p.forgetTable(u.Table)
		}
	}
	if len(current) == 0 || p.plan.IsHub() {
		return
	}
	if err := p.watch.Offer(watchMessage{updates: current, sentAt: sentAt}); err != nil {
		p.log.Warn().Str("cause", err.Error()).Msg("message_dropped")
		// The next news has to repeat what was dropped.
		for _, u := range current {
			p.forgetTable(u.Table)
		}
	}
}

// forgetTable drops the copy of a table, so that the next news has the whole table.
func (p *peers) forgetTable(name string) {
	p.tables[name] = exchange.NewTableCopy(name)
}

func (p *peers) handleTable(m tableRead) {
	t := p.tables[m.update.Table]
	if m.failed {
		t.Unavailable()
		return
	}
	if t.Apply(m.update, m.confirmedAt) == exchange.Gap {
		// The copy must not be confirmed any more.
		p.forgetTable(m.update.Table)
	}
}

// forwardRecords passes new records on to the cluster duty.
func (p *peers) forwardRecords(fromHub bool) {
	list, last := p.records.Since(p.forwarded)
	if len(list) == 0 && !fromHub {
		return
	}
	if p.cluster.Offer(recordsKnown{records: list, clock: p.storeClock.Now(p.clock.Now()), fromHub: fromHub}) == nil {
		p.forwarded = last
	}
}

// answer answers a poll with what has changed since the last one.
func (p *peers) answer(m pollReceived, now clock.Instant) {
	request, err := exchange.DecodePoll(m.exchange.Body)
	if err != nil {
		p.log.Warn().Str("peer", m.exchange.Remote).Str("cause", err.Error()).Msg("poll_bad")
		p.reply(m, http.StatusBadRequest, nil)
		return
	}
	p.answered++
	p.records.PutFirstHand(request.Record)
	news := exchange.News{Hub: p.own.Incarnation, Clock: p.storeClock.Now(now)}
	position := request.Position
	if request.Hub != news.Hub {
		position = 0
	}
	news.Records, news.Position = p.recordsFor(request, position)
	for name := range request.Versions {
		if t := p.tables[name]; t != nil {
			known := request.TablePosition(name, t.Position().Timeline)
			news.Tables = append(news.Tables, t.Since(known, now))
		}
	}
	body, err := news.Encode()
	if err != nil || p.own.Instance == "" || !p.storeClock.IsKnown() {
		// This process does not know enough yet.
		p.reply(m, http.StatusServiceUnavailable, nil)
		return
	}
	p.reply(m, http.StatusOK, body)
}

// recordsFor returns the records that a gateway lacks since a position, and the position
// of the last one.
func (p *peers) recordsFor(request exchange.Poll, position uint64) ([]cluster.Record, uint64) {
	if request.IsHub {
		return p.records.FirstHandSince(position)
	}
	list, last := p.records.Since(position)
	if !request.NeedsCounts {
		for i := range list {
			list[i].Windows = nil
		}
	}
	return list, last
}

func (p *peers) reply(m pollReceived, status int, body []byte) {
	if err := m.exchange.Reply(status, http.Header{"Content-Type": {cborType}}, body); err != nil {
		p.log.Debug().Str("peer", m.exchange.Remote).Str("cause", err.Error()).Msg("peer_gone")
	}
}

func (p *peers) dump(now clock.Instant) dump.Peers {
	d := dump.Peers{
		IsHub: p.plan.IsHub(), LastHub: p.lastHub, NewsAgeMillis: now.Sub(p.newsAt).Milliseconds(),
		Polls: p.polls, Failures: p.failures, Answered: p.answered,
		Versions: make(map[string]uint64), Timelines: make(map[string]uint64),
	}
	for name, t := range p.tables {
		d.Versions[name], d.Timelines[name] = t.Position().Version, t.Position().Timeline
	}
	return d
}
