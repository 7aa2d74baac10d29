package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
	"github.com/sycamorecourse/sycamorecourse/serving/reclaim"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

func (f *fleetDuty) readList() {
	now := f.clock.Now()
	if f.listing || now.Before(f.nextList) {
		return
	}
	interval := f.settings.FleetInterval
	if !f.lease.grant().isValid(now) {
		interval *= standbyFactor
	}
	f.nextList = now.Add(interval)
	f.listing = f.calls.begin(func(resume func(func())) {
		f.cloud.Instances(func(list []fleet.Instance, err error) {
			resume(func() { f.hasListed(list, err) })
		})
	}) == nil
}

func (f *fleetDuty) hasListed(list []fleet.Instance, err error) {
	f.listing = false
	if err != nil {
		f.log.Warn().Str("cause", err.Error()).Msg("instance_list_failed")
		return
	}
	f.listed = true
	f.view.Update(list, f.clock.Now(), f.now())
}

func (f *fleetDuty) readPrices() {
	now := f.clock.Now()
	if f.pricing || now.Before(f.nextPrices) {
		return
	}
	f.nextPrices = now.Add(priceInterval)
	f.pricing = f.calls.begin(func(resume func(func())) {
		f.cloud.Prices(func(list price.List, err error) {
			resume(func() { f.hasPrices(list, err) })
		})
	}) == nil
}

func (f *fleetDuty) hasPrices(list price.List, err error) {
	f.pricing = false
	if err != nil {
		f.nextPrices = f.clock.Now().Add(f.settings.FleetInterval)
		f.log.Warn().Str("cause", err.Error()).Msg("prices_failed")
		return
	}
	f.prices = list
	f.wake()
}

// readNotices keeps one call open that waits for notices.
func (f *fleetDuty) readNotices() {
	if f.noticing || f.clock.Now().Before(f.nextNotice) {
		return
	}
	f.noticing = f.calls.begin(func(resume func(func())) {
		f.cloud.Notices(f.cursor, func(n Notices, err error) {
			resume(func() { f.noticed(n, err) })
		})
	}) == nil
}

func (f *fleetDuty) noticed(n Notices, err error) {
	f.noticing = false
	now := f.clock.Now()
	if err != nil {
		f.nextNotice = now.Add(f.settings.FleetInterval)
		return
	}
	f.cursor = n.Cursor
	if len(n.List) == 0 {
		f.nextNotice = now.Add(f.settings.FleetInterval)
		return
	}
	f.passNotices(n.List)
	for _, notice := range n.List {
		f.takeNotice(notice, now)
	}
	f.wake()
}

// passNotices tells the gateways at once, whether or not this controller holds
// the fleet lease. When that finds no room, the holder's own news remains.
func (f *fleetDuty) passNotices(list []reclaim.Notice) {
	notices := make([]spread.Notice, 0, len(list))
	for _, n := range list {
		notices = append(notices, spread.Notice{Instance: n.Instance, Ends: n.Ends})
	}
	_ = f.followers.PublishNotices(notices)
}

func (f *fleetDuty) takeNotice(n reclaim.Notice, now clock.Instant) {
	if !f.view.AddNotice(n, now) {
		return
	}
	f.counters.reclaims.Inc()
	if i, ok := f.view.Find(n.Instance); ok {
		n.FailureDomain = i.FailureDomain
	}
	f.log.Warn().Str("instance", n.Instance).Str("failure_domain", n.FailureDomain).Time("ends", n.Ends).Msg("reclaim_notice")
	isWave := f.waves.AddNotice(n.FailureDomain, f.reclaimableIn(n.FailureDomain), now)
	if isWave && f.backoff.RecordReclaimWave(n.FailureDomain, now) {
		f.log.Warn().Str("failure_domain", n.FailureDomain).Msg("reclaim_wave")
	}
}

func (f *fleetDuty) reclaimableIn(domain string) int {
	count := 0
	for _, i := range f.view.Instances() {
		if i.Reclaimable && i.FailureDomain == domain {
			count++
		}
	}
	return count
}
