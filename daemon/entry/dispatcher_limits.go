package entry

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// tellInterval is the time between two messages to the other holders of limits.
const tellInterval = 250 * time.Millisecond

// askHolder asks another gateway whether a customer's limit admits a request. It first
// reserves a slot in the inbox, so that the reply can always be delivered.
func (d *dispatcher) askHolder(a relay.AskHolder, now clock.Instant) {
	if err := d.inbox.Reserve(); err != nil {
		d.metrics.recordAsk(limitCallNotMade)
		d.core.HolderFailed(a.Handle, a.Holder.Instance, now)
		return
	}
	ask := exchange.LimitAsk{Customer: a.Customer, Amount: a.Amount}
	d.peers.askLimit(a.Holder.Address, ask, a.Timeout, func(r exchange.LimitReply, err error) {
		offerResult(d.inbox, dispatchMessage(limitAnswered{handle: a.Handle, instance: a.Holder.Instance, reply: r, err: err}), d.log)
	})
}

func (d *dispatcher) handleLimitAnswer(m limitAnswered, now clock.Instant) {
	if m.err != nil {
		d.metrics.recordAsk(limitCallFailed)
		d.log.Info().Str("gateway", m.instance).Str("cause", m.err.Error()).Msg("limit_ask_failed")
		d.core.HolderFailed(m.handle, m.instance, now)
		return
	}
	d.metrics.recordAsk(m.reply.Outcome.String())
	d.core.LimitAnswered(m.handle, limit.Decision{Outcome: m.reply.Outcome, RetryAfter: max(m.reply.RetryAfter, 0)}, now)
}

// answerLimit answers another gateway that asks about a customer's limit.
func (d *dispatcher) answerLimit(m limitAsked, now clock.Instant) {
	ask, err := exchange.DecodeLimitAsk(m.exchange.Body)
	if err != nil {
		d.log.Warn().Str("peer", m.exchange.Remote).Str("cause", err.Error()).Msg("limit_ask_bad")
		d.replyPeer(m.exchange, http.StatusBadRequest, nil)
		return
	}
	decision := d.core.LendLimit(ask.Customer, ask.Amount, now)
	d.metrics.recordLend(decision.Outcome.String())
	body, err := exchange.LimitReply{Outcome: decision.Outcome, RetryAfter: decision.RetryAfter}.Encode()
	if err != nil {
		d.log.Error().Str("cause", err.Error()).Msg("limit_reply_not_encoded")
		d.replyPeer(m.exchange, http.StatusInternalServerError, nil)
		return
	}
	d.replyPeer(m.exchange, http.StatusOK, body)
}

// tellPartners tells the other holders of limits what this gateway has used. Of two, the
// one that is first by name calls the other, and hears its news in the response.
func (d *dispatcher) tellPartners(now clock.Instant) {
	if now.Sub(d.toldAt) < tellInterval {
		return
	}
	d.toldAt = now
	var news exchange.HolderNews
	for _, partner := range d.core.LimitPartners() {
		if partner.Instance <= d.instance || d.inbox.Reserve() != nil {
			continue
		}
		if news.Instance == "" {
			news = d.ownNews(now)
		}
		d.peers.tellUse(partner.Address, news, func(n exchange.HolderNews, err error) {
			offerResult(d.inbox, dispatchMessage(useHeard{instance: partner.Instance, sentAt: now, news: n, err: err}), d.log)
		})
	}
}

// answerUse takes over the news of another holder and answers with that of this one.
func (d *dispatcher) answerUse(m useTold, now clock.Instant) {
	news, err := exchange.DecodeHolderNews(m.exchange.Body)
	if err != nil {
		d.log.Warn().Str("peer", m.exchange.Remote).Str("cause", err.Error()).Msg("holder_news_bad")
		d.replyPeer(m.exchange, http.StatusBadRequest, nil)
		return
	}
	d.hearNews(news, now)
	body, err := d.ownNews(now).Encode()
	if err != nil {
		d.log.Error().Str("cause", err.Error()).Msg("holder_news_not_encoded")
		d.replyPeer(m.exchange, http.StatusInternalServerError, nil)
		return
	}
	d.replyPeer(m.exchange, http.StatusOK, body)
}

// ownNews returns what this gateway tells other holders.
func (d *dispatcher) ownNews(now clock.Instant) exchange.HolderNews {
	news := exchange.HolderNews{Instance: d.instance}
	news.Used, news.Reserves = d.core.TellUse(now)
	if d.storeOffset != 0 {
		news.CountedAt = time.Duration(now) + d.storeOffset
	}
	return news
}

// hearNews takes over what another holder has told. It may have come late: a holder that
// gets no response in time gives up, but what it has sent may still arrive.
func (d *dispatcher) hearNews(news exchange.HolderNews, now clock.Instant) {
	countedAt := now
	if news.CountedAt > 0 && d.storeOffset != 0 {
		countedAt = min(now, clock.Instant(news.CountedAt-d.storeOffset))
	}
	d.core.HearUse(news.Instance, news.Used, news.Reserves, countedAt, now)
}

// handleUse takes over the response of another holder. It was counted after the news was
// sent to it. If another gateway has got the address meanwhile, it is that one's.
func (d *dispatcher) handleUse(m useHeard, now clock.Instant) {
	if m.err != nil {
		d.log.Debug().Str("gateway", m.instance).Str("cause", m.err.Error()).Msg("holder_not_heard")
		return
	}
	d.core.HearUse(m.news.Instance, m.news.Used, m.news.Reserves, m.sentAt, now)
}

func (d *dispatcher) replyPeer(x *httpd.Exchange, status int, body []byte) {
	if err := x.Reply(status, http.Header{"Content-Type": {cborType}}, body); err != nil {
		d.log.Debug().Str("peer", x.Remote).Str("cause", err.Error()).Msg("peer_gone")
	}
}
