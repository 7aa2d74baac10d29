package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// beat writes the own row, then reads all. The first time it only reads, since
// the row may hold counts of this instance's former process.
func (c *clusterer) beat(now clock.Instant) {
	c.beating = true
	c.beatAt = now.Add(c.interval())
	if !c.readOnce {
		c.readCards()
		return
	}
	c.card.Sequence++
	c.card.Windows = windowsOf(c.tally)
	c.card.WrittenAt = c.storeAt + now.Sub(c.steadyAt)
	value, err := c.card.Encode()
	if err != nil {
		c.log.Error().Str("cause", err.Error()).Msg("card_not_encoded")
		c.beating = false
		return
	}
	if !c.reserve() {
		c.beating = false
		return
	}
	put := rows.Put{Table: cardTable, Key: row.Key{Sort: c.card.Instance}, Value: value}
	c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
		answer(c.inbox, clusterMessage(cardWritten{err: err}), c.log)
	})
}

// interval is the time between two writes of the own row.
func (c *clusterer) interval() time.Duration {
	each := heartbeatEach * time.Duration(len(c.view.ShareHolders()))
	return min(max(heartbeatEvery, each), longestHeartbeat)
}

func windowsOf(t *usage.Tally) map[int64]map[string]uint64 {
	out := make(map[int64]map[string]uint64, len(t.Windows()))
	for window, counts := range t.Windows() {
		out[window] = counts
	}
	return out
}

func (c *clusterer) written(m cardWritten, now clock.Instant) {
	if m.err != nil {
		c.away(m.err)
		c.beating = false
		return
	}
	c.readCards()
}

func (c *clusterer) readCards() {
	if !c.reserve() {
		c.beating = false
		return
	}
	c.store.List(cardTable, "", func(p rows.Page, err error) {
		answer(c.inbox, clusterMessage(cardsRead{page: p, err: err}), c.log)
	})
}

func (c *clusterer) read(m cardsRead, now clock.Instant) {
	c.beating = false
	if m.err != nil {
		c.away(m.err)
		return
	}
	c.back()
	cards := make([]cluster.Record, 0, len(m.page.Rows))
	for _, r := range m.page.Rows {
		card, err := cluster.Decode(r.Key.Sort, r.Value)
		if err != nil {
			c.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		if card.WrittenAt != 0 {
			card.Age = max(m.page.Clock-card.WrittenAt, 0)
		}
		cards = append(cards, card)
	}
	c.view.SetTimeouts(min(time.Duration(silentBeats*float64(c.interval())), longestSilence), holdLimit)
	c.view.Update(cards, now)
	if !c.readOnce {
		c.readOnce = true
		c.inherit()
		c.beatAt = now
	}
	c.card.ClockOffset = time.Duration(time.Now().UnixNano()) - m.page.Clock
	c.storeAt, c.steadyAt = m.page.Clock, now
	c.tally.Trim(c.trueTime(now))
	c.share(now)
	c.removeDead()
}

// inherit takes over what this instance's former process has counted.
func (c *clusterer) inherit() {
	former, ok := c.view.Record(c.card.Instance)
	if !ok {
		return
	}
	for window, counts := range former.Windows {
		c.tally.Add(window, counts)
	}
	c.log.Info().Uint64("incarnation", former.Incarnation).Int("windows", len(former.Windows)).Msg("counts_inherited")
}

// share tells the other duties what follows from the rows.
func (c *clusterer) share(now clock.Instant) {
	ready := c.view.Ready()
	addresses := make([]string, 0, len(ready))
	for _, card := range ready {
		addresses = append(addresses, card.Address)
	}
	if len(addresses) > 0 {
		offerOr(c.directory, directoryMessage{addresses: addresses}, c.log)
	}
	news := setShares{division: c.view.Divide(c.card.Instance, now)}
	for _, card := range ready {
		if card.Instance != c.card.Instance {
			news.others++
		}
	}
	if isStale := c.view.IsStale(now); isStale != c.isStale {
		c.isStale = isStale
		c.log.Warn().Bool("reduced", isStale).Int("gateways", news.division.Gateways).Msg("limits_divided")
	}
	offerOr(c.dispatch, dispatchMessage(news), c.log)
	offerOr(c.dispatch, dispatchMessage(setClock{ahead: c.ahead()}), c.log)
}

// ahead is how far true time is ahead of the steady clock.
func (c *clusterer) ahead() time.Duration {
	offset, ok := c.view.ClockOffset()
	if !ok {
		offset = c.card.ClockOffset
	}
	return offset + c.storeAt - time.Duration(c.steadyAt)
}

func (c *clusterer) trueTime(now clock.Instant) time.Duration {
	return time.Duration(now) + c.ahead()
}

// removeDead removes rows of gateways that are long gone.
func (c *clusterer) removeDead() {
	if !c.holds {
		return
	}
	for _, name := range c.view.Silent(removeAfter) {
		put := rows.Put{Table: cardTable, Key: row.Key{Sort: name}, Delete: true}
		c.log.Info().Str("instance", name).Msg("row_removed")
		c.store.Write([]rows.Put{put}, func(_ uint64, err error) {
			if err != nil {
				c.log.Warn().Str("instance", name).Str("cause", err.Error()).Msg("row_not_removed")
			}
		})
	}
}
