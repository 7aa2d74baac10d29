package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

const (
	// holdFor is how long an upstream is believed to keep a part of a prompt that
	// was last used there.
	holdFor = 20 * time.Second
	// fullFor is how long an upstream that was full gets no new request.
	fullFor = 100 * time.Millisecond
	// outcomeWeight is the weight of one answer in the moving share of errors.
	outcomeWeight = 0.1
)

// member is an upstream of a pool and what this gateway knows of it.
type member struct {
	upstream *catalog.Upstream
	seed     uint64
	record   health.Record
	open     int
	// reading is the number of prompt tokens that its open requests have to
	// read before their first event.
	reading int
	// holds maps the key of a prompt's beginning to its last use there.
	holds     map[uint64]clock.Instant
	swept     clock.Instant
	fullUntil clock.Instant
	// misdirected is set while another upstream answers at its address.
	misdirected bool
	// errors is the moving share of answers that were server errors.
	errors float64
	// delays holds the delay of requests by urgency.
	delays [maxUrgency + 1]queueDelay
	// plain is the moving time of a plain call.
	plain time.Duration
}

func newMember(u *catalog.Upstream) *member {
	return &member{
		upstream: u,
		seed:     xxhash.Sum64String(u.ID),
		holds:    make(map[uint64]clock.Instant),
	}
}

// rank orders the upstreams for a key, alike at all gateways.
func (m *member) rank(key uint64) uint64 {
	x := key ^ m.seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// delay is how long a request of an urgency is expected to wait behind those
// that are as urgent or more.
func (m *member) delay(urgency int, now clock.Instant) time.Duration {
	var longest time.Duration
	for i := 0; i <= urgency; i++ {
		longest = max(longest, m.delays[i].now(now))
	}
	return longest
}

// cached returns how many tokens of a prompt the upstream is believed to hold.
func (m *member) cached(p *Prompt, keys []uint64, now clock.Instant) int {
	tokens := 0
	for i, key := range keys {
		used, ok := m.holds[key]
		if !ok || now.Sub(used) > holdFor {
			break
		}
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// hold notes that the upstream reads a prompt.
func (m *member) hold(keys []uint64, now clock.Instant) {
	for _, key := range keys {
		m.holds[key] = now
	}
	if now.Sub(m.swept) < holdFor {
		return
	}
	m.swept = now
	for key, used := range m.holds {
		if now.Sub(used) > holdFor {
			delete(m.holds, key)
		}
	}
}
