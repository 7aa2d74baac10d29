package cluster

import (
	"slices"
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// View is one gateway's view of the cluster, its own record included. It is used
// by one thread.
type View struct {
	liveTimeout  time.Duration
	shareTimeout time.Duration
	peers        map[string]*peer
	lastRead     clock.Instant // 0 before the first read
	// spread is the time in which records reach this gateway: the longest of late.
	spread time.Duration
	// published is the Share in this gateway's own record in the store; 0 if there is none.
	published float64
}

// NewView makes an empty view. A gateway is live until liveTimeout after the last
// write of its record. It keeps its part of limits and budgets until shareTimeout
// after the record was last seen to change. That is longer, since the gateway may
// still be serving without access to the store.
func NewView(liveTimeout, shareTimeout time.Duration) *View {
	return &View{liveTimeout: liveTimeout, shareTimeout: shareTimeout, peers: make(map[string]*peer), spread: minSpread}
}

// SetTimeouts replaces the timeouts given to NewView.
func (v *View) SetTimeouts(liveTimeout, shareTimeout time.Duration) {
	v.liveTimeout, v.shareTimeout = liveTimeout, shareTimeout
}

// Update replaces the records with those read at now. Gateways that are missing
// from them are dropped.
func (v *View) Update(records []Record, now clock.Instant) {
	previousRead := v.lastRead
	// A period without successful reads counts against no gateway.
	if gap := now.Sub(v.lastRead); v.lastRead != 0 && gap >= v.liveTimeout {
		for _, p := range v.peers {
			p.changedAt, p.writtenAt = p.changedAt.Add(gap), p.writtenAt.Add(gap)
		}
		previousRead = now
	}
	v.lastRead = now
	read := newReading(records)
	v.spread = max(time.Duration(spreadDecay*float64(v.spread)), minSpread)
	seen := make(map[string]bool, len(records))
	for _, record := range records {
		seen[record.Instance] = true
		p := v.peers[record.Instance]
		isNew := p == nil
		if isNew {
			silence := read.silence(record)
			p = &peer{changedAt: now.Add(-silence), publishedAt: publishedAt(record, now), writtenAt: now.Add(-silence)}
			p.countedAt = now.Add(-record.CountAge)
			if read.newestAge < v.liveTimeout/2 {
				p.writtenAt = now.Add(-record.Age)
			}
			v.peers[record.Instance] = p
		}
		previous := p.record
		p.record = record
		if !isNew && (previous.Sequence != record.Sequence || previous.Incarnation != record.Incarnation) {
			p.changedAt, p.publishedAt = now, publishedAt(record, now)
			p.countedAt = now.Add(-min(record.CountAge, maxSpread))
			v.spread = min(max(v.spread, record.CountAge), maxSpread)
			// The record changed, so it was written after the previous read.
			p.writtenAt = max(now.Add(-record.Age), previousRead)
		}
	}
	for name := range v.peers {
		if !seen[name] {
			delete(v.peers, name)
		}
	}
}

const (
	// minSpread and maxSpread bound the time in which a record is taken to reach all
	// gateways, and spreadDecay is the part of it that is kept from one read to the next.
	minSpread   = 500 * time.Millisecond
	maxSpread   = 4 * time.Second
	spreadDecay = 0.9
)

// maxRecordDelay bounds the time from the write of a record until it is read. An
// older one has a writer whose clock is wrong.
const maxRecordDelay = 3 * time.Second

// publishedAt returns when a record was written that has just been read.
func publishedAt(record Record, now clock.Instant) clock.Instant {
	return now.Add(-min(record.Age, maxRecordDelay))
}

// Live returns the records of the live gateways, ordered by name.
func (v *View) Live() []Record {
	return v.list(v.isLive)
}

// isLive reports whether the record of a gateway was written lately, by a process that goes
// on.
func (v *View) isLive(p *peer) bool {
	return !p.record.Ended && v.lastRead.Sub(p.writtenAt) < v.liveTimeout
}

// ShareHolders returns the records of the gateways among which limits and budgets
// are divided, ordered by name.
func (v *View) ShareHolders() []Record {
	return v.list(v.holdsShare)
}

// holdsShare reports whether a gateway has a part of limits and budgets.
func (v *View) holdsShare(p *peer) bool {
	return !p.record.Ended && v.lastRead.Sub(p.changedAt) < v.shareTimeout
}

// list returns the records of the peers that keep selects, ordered by name.
func (v *View) list(keep func(*peer) bool) []Record {
	var list []Record
	for _, p := range v.peers {
		if keep(p) {
			list = append(list, p.record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// Ready returns the records of the live gateways that accept requests, ordered by
// name.
func (v *View) Ready() []Record {
	var list []Record
	for _, record := range v.Live() {
		if record.Ready {
			list = append(list, record)
		}
	}
	return list
}

// Others returns the records of all gateways but one whose processes have not said that they
// have ended, silent ones included, ordered by name.
func (v *View) Others(instance string) []Record {
	return v.list(func(p *peer) bool { return p.record.Instance != instance && !p.record.Ended })
}

// IsLive reports whether a gateway has written its record lately.
func (v *View) IsLive(instance string) bool {
	p := v.peers[instance]
	return p != nil && v.isLive(p)
}

// Silent returns the names of the gateways whose records have not changed for the
// given timeout.
func (v *View) Silent(timeout time.Duration) []string {
	var names []string
	for name, p := range v.peers {
		if v.lastRead.Sub(p.changedAt) >= timeout {
			names = append(names, name)
		}
	}
	return names
}

// Record returns the record of a gateway.
func (v *View) Record(instance string) (Record, bool) {
	p := v.peers[instance]
	if p == nil {
		return Record{}, false
	}
	return p.record, true
}

// Usage sums the requests that all gateways, dead ones included, counted in a
// usage window, by customer.
func (v *View) Usage(window int64) map[string]uint64 {
	sum := make(map[string]uint64)
	for _, p := range v.peers {
		for customer, n := range p.record.Windows[window] {
			sum[customer] += n
		}
	}
	return sum
}

// Rollouts returns the stages of roll-outs that the gateways have published, dead ones
// included, and what the others have counted in them.
func (v *View) Rollouts(self string) ([]rollout.Stage, []rollout.Evidence) {
	var stages []rollout.Stage
	var evidence []rollout.Evidence
	for name, p := range v.peers {
		stages = append(stages, p.record.Rollouts...)
		if name != self {
			evidence = append(evidence, v.rolloutEvidence(p)...)
		}
	}
	return stages, evidence
}

// rolloutEvidence returns what a gateway has counted in roll-outs. One that has died has
// no request in progress any more.
func (v *View) rolloutEvidence(p *peer) []rollout.Evidence {
	if v.isLive(p) {
		return p.record.RolloutEvidence
	}
	list := slices.Clone(p.record.RolloutEvidence)
	for i := range list {
		list[i].OpenOld = 0
	}
	return list
}

// Evidence returns what all gateways, dead ones included, have published of prompt
// parts that may crash upstreams.
func (v *View) Evidence() []quarantine.Evidence {
	var list []quarantine.Evidence
	for _, p := range v.peers {
		list = append(list, p.record.Evidence...)
	}
	return list
}

// CountsPublishedUntil returns the instant by which every gateway, silent ones
// included, is known to have published its counts: the earliest time at which one of
// the present records was written, but for those of gateways that have ended and counted all.
func (v *View) CountsPublishedUntil() clock.Instant {
	until := v.lastRead
	for _, p := range v.peers {
		if !p.record.Ended {
			until = min(until, p.publishedAt)
		}
	}
	return until
}

// IsCandidate reports whether a gateway competes for the lease of the singleton
// duties. The candidates are the given number of ready gateways, the first by
// name, so that the calls for the lease do not grow with the cluster. A gateway
// that is not ready itself is a candidate while there are fewer ready ones.
func (v *View) IsCandidate(instance string, candidates int) bool {
	ready := v.Ready()
	for i, record := range ready {
		if record.Instance == instance {
			return i < candidates
		}
	}
	return len(ready) < candidates
}

// Load sums the load that the live gateways put on a service.
func (v *View) Load(service string) scale.Load {
	var sum scale.Load
	for _, record := range v.Live() {
		sum.Add(record.Loads[service])
	}
	return sum
}

// ClockOffset returns the wall clock minus the store's clock, as the median over
// the live gateways, so that a few wrong clocks do not matter. It reports false
// if no live gateway has published its offset.
func (v *View) ClockOffset() (time.Duration, bool) {
	var offsets []time.Duration
	for _, record := range v.Live() {
		if record.ClockOffset != 0 {
			offsets = append(offsets, record.ClockOffset)
		}
	}
	if len(offsets) == 0 {
		return 0, false
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	return offsets[(len(offsets)-1)/2], true
}
