package relay

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
)

const (
	// prefixTTL is how long an upstream is believed to cache a prompt prefix after
	// its last use there.
	prefixTTL = 20 * time.Second
	// fullBackoff is how long an upstream that rejected a request gets no new
	// ones.
	fullBackoff = 100 * time.Millisecond
	// errorRateWeight is the weight of one response in the error rate.
	errorRateWeight = 0.1
)

// member is an upstream in a pool and what this gateway has observed of it.
type member struct {
	upstream *catalog.Upstream
	idHash   uint64
	// startHash differs for each start of the upstream.
	startHash uint64
	record    health.Record
	open      int // this gateway's requests in progress there
	// prefillTokens is the number of prompt tokens that those requests have to
	// read before their first events.
	prefillTokens int
	// prefixes maps the key of a prompt prefix to its last use.
	prefixes  map[uint64]clock.Instant
	lastSweep clock.Instant // of prefixes
	// pausedUntil is when the upstream may get requests again after it has rejected one.
	pausedUntil clock.Instant
	// draining is set once the upstream has said that it is leaving.
	draining bool
	// badRetryAfter is set once a pause that it asked for could not be read.
	badRetryAfter bool
	// misdirected is set when another upstream answered at the address.
	misdirected bool
	// errorRate is the moving average of responses that were server errors.
	errorRate float64
	// queueDelays holds the queueing delay by priority.
	queueDelays [lowestPriority + 1]queueDelay
	// plainLatency is the moving average of the latency of requests without a
	// prompt.
	plainLatency time.Duration
}

func newMember(u *catalog.Upstream) *member {
	return &member{
		upstream:  u,
		idHash:    xxhash.Sum64String(u.ID),
		startHash: xxhash.Sum64String(u.ID + "@" + strconv.FormatInt(u.StartedAtMillis, 10)),
		prefixes:  make(map[uint64]clock.Instant),
	}
}

// rendezvousScore returns the upstream's score for a key in rendezvous hashing.
// All gateways compute the same score.
func (m *member) rendezvousScore(key uint64) uint64 {
	x := key ^ m.idHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// expectedDelay returns how long a request is expected to wait behind requests of
// the same or a higher priority.
func (m *member) expectedDelay(priority int, now clock.Instant) time.Duration {
	var longest time.Duration
	for i := 0; i <= priority; i++ {
		longest = max(longest, m.queueDelays[i].estimate(now))
	}
	return longest
}

// cachedTokens returns how many tokens of a prompt the upstream is believed to
// have cached.
func (m *member) cachedTokens(p *Prompt, keys []uint64, now clock.Instant) int {
	tokens := 0
	for i, key := range keys {
		used, ok := m.prefixes[key]
		if !ok || now.Sub(used) > prefixTTL {
			break
		}
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// recordPrefixes records that the prefixes of a prompt are in use at the upstream.
// Once per prefixTTL it removes expired ones.
func (m *member) recordPrefixes(keys []uint64, now clock.Instant) {
	for _, key := range keys {
		m.prefixes[key] = now
	}
	if now.Sub(m.lastSweep) < prefixTTL {
		return
	}
	m.lastSweep = now
	for key, used := range m.prefixes {
		if now.Sub(used) > prefixTTL {
			delete(m.prefixes, key)
		}
	}
}
