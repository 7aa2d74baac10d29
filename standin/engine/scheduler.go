package engine

import (
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// scheduler implements continuous batching: it assigns slots to queued runs and
// decodes in steps, each of which generates one token for each run in the
// decode phase.
type scheduler struct {
	config  Config
	host    *host.Host
	records *records
	queue   queue
	cache   *cache
	running []*run
	// reservedTokens is the sum of maxKVTokens over the running runs.
	reservedTokens int
	stepScheduled  bool
	// prefillBusyUntil is when the prefill of all running prompts is done.
	prefillBusyUntil clock.Instant
	loadHistory      loadHistory
	tokenRate        tokenRate
}

func newScheduler(config Config, h *host.Host, records *records, cache *cache) *scheduler {
	return &scheduler{
		config:      config,
		host:        h,
		records:     records,
		cache:       cache,
		loadHistory: loadHistory{lag: config.LoadLag},
		tokenRate:   tokenRate{lag: config.LoadLag},
	}
}

// isFull reports whether the queue is at its limit.
func (s *scheduler) isFull() bool {
	return s.queue.Len() >= s.config.QueueLimit
}

// submit queues a run.
func (s *scheduler) submit(r *run) {
	s.records.queued(r)
	s.queue.enqueue(r)
	s.fillSlots()
	s.recordLoad()
}

// fillSlots starts queued runs in order while there are free slots and the KV
// memory of the next run can be reserved.
func (s *scheduler) fillSlots() {
	for s.queue.Len() > 0 && len(s.running) < s.config.Slots {
		if s.reservedTokens+s.queue.runs[0].maxKVTokens() > s.config.KVTokens {
			return
		}
		s.start(s.queue.dequeue())
	}
}

// start gives a run its slot and schedules the end of its prefill.
func (s *scheduler) start(r *run) {
	s.running = append(s.running, r)
	s.reservedTokens += r.maxKVTokens()
	r.phase = PhasePrefill
	blocks := r.blocks()
	r.cachedTokens = max(r.importedTokens, s.cache.match(blocks)*BlockTokens)
	s.records.started(r)

	now := s.host.Now()
	cost := time.Duration(len(r.contextTokens)-r.cachedTokens) * s.config.PrefillTokenTime
	s.prefillBusyUntil = max(s.prefillBusyUntil, now).Add(cost)
	s.host.After(s.prefillBusyUntil.Sub(now), func() { s.finishPrefill(r, blocks) })
}

// finishPrefill moves a run to the decode phase. A resumed run that has nothing
// left to generate completes at once.
func (s *scheduler) finishPrefill(r *run, blocks []Block) {
	if r.phase != PhasePrefill {
		return
	}
	s.cache.insert(RootBlock(r.request.Model, r.request.Adapter), blocks)
	r.phase = PhaseDecode
	r.record.Phase = r.phase
	if r.nextToken >= r.length {
		r.broadcast(r.emptyLastChunk())
		s.end(r, PhaseCompleted)
	}
	s.scheduleStep()
}

// scheduleStep sets the timer of the next decode step, unless it is set or no
// run is decoding.
func (s *scheduler) scheduleStep() {
	n := s.countDecoding()
	if s.stepScheduled || n == 0 {
		return
	}
	s.stepScheduled = true
	factor := 1 + s.config.BatchSlowdown*float64(n-1)
	s.host.After(time.Duration(float64(s.config.TokenTime)*factor), s.step)
}

// step generates one token for each decoding run.
func (s *scheduler) step() {
	s.stepScheduled = false
	n := 0
	for _, r := range slices.Clone(s.running) {
		if r.phase != PhaseDecode {
			continue
		}
		n++
		r.emit()
		if r.nextToken >= r.length {
			s.end(r, PhaseCompleted)
		}
	}
	s.tokenRate.add(s.host.Now(), n)
	s.recordLoad()
	s.scheduleStep()
}

func (s *scheduler) countDecoding() int {
	n := 0
	for _, r := range s.running {
		if r.phase == PhaseDecode {
			n++
		}
	}
	return n
}

// end moves a run from any phase to a final one, ends its streams and frees its
// slot. It does nothing for a run that has ended.
func (s *scheduler) end(r *run, phase Phase) {
	if r.phase.isEnded() {
		return
	}
	if r.phase == PhaseQueued {
		s.queue.remove(r)
	} else {
		s.running = slices.DeleteFunc(s.running, func(other *run) bool { return other == r })
		s.reservedTokens -= r.maxKVTokens()
	}
	r.phase = phase
	s.records.ended(r)
	r.endStreams()
	s.host.After(s.config.RetainEnded, func() { s.records.forget(r) })
	s.fillSlots()
	s.recordLoad()
}

// scheduleAbandon starts the abandon timeout. It ends the run unless a caller
// is attached by then; when one came and left again, the later timeout decides.
func (s *scheduler) scheduleAbandon(r *run) {
	r.detachCount++
	epoch := r.detachCount
	s.host.After(s.config.AbandonTimeout, func() {
		if r.detachCount == epoch && len(r.callers) == 0 {
			s.end(r, PhaseAbandoned)
		}
	})
}

// recordLoad adds the current load to the history.
func (s *scheduler) recordLoad() {
	s.loadHistory.add(s.host.Now(), Load{
		Running:      len(s.running),
		Queued:       s.queue.Len(),
		KVUsedTokens: s.usedTokens(),
	})
}

// usedTokens returns the number of tokens in the prefix cache and in the KV
// caches of running runs.
func (s *scheduler) usedTokens() int {
	n := s.cache.tokens()
	for _, r := range s.running {
		n += r.kvTokens()
	}
	return n
}

// load returns the load as of LoadLag ago.
func (s *scheduler) load() Load {
	now := s.host.Now()
	at := now.Add(-s.config.LoadLag)
	load := s.loadHistory.at(at)
	load.KVTotalTokens = s.config.KVTokens + max(s.config.CacheBlocks, 0)*BlockTokens
	load.TokensPerSecond = s.tokenRate.at(at)
	load.MeasuredAtMillis = unixMillis(at, now)
	return load
}
