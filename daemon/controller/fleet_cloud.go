package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
	"github.com/sycamorecourse/sycamorecourse/serving/reclaim"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

func (f *fleetDuty) readInstances() {
	now := f.clock.Now()
	if f.listPending || now.Before(f.nextList) {
		return
	}
	interval := f.settings.FleetInterval
	if !f.lease.grant().isValid(now) {
		interval *= standbyFactor
	}
	f.nextList = now.Add(interval)
	f.listPending = f.calls.begin(func(resume func(func())) {
		f.cloud.Instances(func(list []fleet.Instance, err error) {
			resume(func() { f.onInstances(list, err) })
		})
	}) == nil
}

func (f *fleetDuty) onInstances(list []fleet.Instance, err error) {
	f.listPending = false
	if err != nil {
		f.log.Warn().Str("cause", err.Error()).Msg("instance_list_failed")
		return
	}
	f.hasList = true
	f.view.Update(list, f.clock.Now(), f.now())
}

func (f *fleetDuty) readPrices() {
	now := f.clock.Now()
	if f.pricesPending || now.Before(f.nextPrices) {
		return
	}
	f.nextPrices = now.Add(priceInterval)
	f.pricesPending = f.calls.begin(func(resume func(func())) {
		f.cloud.Prices(func(list price.List, err error) {
			resume(func() { f.onPrices(list, err) })
		})
	}) == nil
}

func (f *fleetDuty) onPrices(list price.List, err error) {
	f.pricesPending = false
	if err != nil {
		f.nextPrices = f.clock.Now().Add(f.settings.FleetInterval)
		f.log.Warn().Str("cause", err.Error()).Msg("prices_failed")
		return
	}
	f.prices = list
	f.tickNow()
}

// readNotices keeps one long-polling call for notices open.
func (f *fleetDuty) readNotices() {
	if f.noticesPending || f.clock.Now().Before(f.nextNotices) {
		return
	}
	f.noticesPending = f.calls.begin(func(resume func(func())) {
		f.cloud.Notices(f.noticeCursor, func(n Notices, err error) {
			resume(func() { f.onNotices(n, err) })
		})
	}) == nil
}

func (f *fleetDuty) onNotices(n Notices, err error) {
	f.noticesPending = false
	now := f.clock.Now()
	if err != nil {
		f.nextNotices = now.Add(f.settings.FleetInterval)
		return
	}
	f.noticeCursor = n.Cursor
	if len(n.List) == 0 {
		f.nextNotices = now.Add(f.settings.FleetInterval)
		return
	}
	f.publishNotices(n.List)
	for _, notice := range n.List {
		f.addNotice(notice, now)
	}
	f.tickNow()
}

// publishNotices passes notices to the gateways at once, whether or not this
// controller holds the fleet lease. If the ring is full, the gateways learn of
// the reclaims from the fleet changes that the lease holder publishes.
func (f *fleetDuty) publishNotices(list []reclaim.Notice) {
	notices := make([]spread.Notice, 0, len(list))
	for _, n := range list {
		notices = append(notices, spread.Notice{Instance: n.Instance, Ends: n.Ends})
	}
	_ = f.publisher.PublishNotices(notices)
}

func (f *fleetDuty) addNotice(n reclaim.Notice, now clock.Instant) {
	if !f.view.AddNotice(n, now) {
		return
	}
	f.counters.reclaimNotices.Inc()
	if i, ok := f.view.Find(n.Instance); ok {
		n.FailureDomain = i.FailureDomain
	}
	f.log.Warn().Str("instance", n.Instance).Str("failure_domain", n.FailureDomain).Time("ends", n.Ends).Msg("reclaim_notice")
	isWave := f.waves.AddNotice(n.FailureDomain, f.countReclaimable(n.FailureDomain), now)
	if isWave && f.backoff.RecordReclaimWave(n.FailureDomain, now) {
		f.log.Warn().Str("failure_domain", n.FailureDomain).Msg("reclaim_wave")
	}
}

func (f *fleetDuty) countReclaimable(domain string) int {
	count := 0
	for _, i := range f.view.Instances() {
		if i.Reclaimable && i.FailureDomain == domain {
			count++
		}
	}
	return count
}
