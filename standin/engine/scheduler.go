package engine

import (
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// scheduler gives slots to runs and generates their tokens in steps: each step
// gives one token to each run that decodes.
type scheduler struct {
	config   Config
	host     *host.Host
	records  *records
	queue    queue
	cache    *cache
	running  []*run
	reserved int
	stepping bool
	// prefillFree is when the prompts that are being computed are done.
	prefillFree clock.Instant
	history     loadHistory
	rate        tokenRate
}

func newScheduler(config Config, h *host.Host, records *records, cache *cache) *scheduler {
	return &scheduler{
		config:  config,
		host:    h,
		records: records,
		cache:   cache,
		history: loadHistory{lag: config.LoadLag},
		rate:    tokenRate{lag: config.LoadLag},
	}
}

// isFull reports whether the queue takes no more.
func (s *scheduler) isFull() bool {
	return s.queue.Len() >= s.config.QueueLimit
}

// submit queues a run.
func (s *scheduler) submit(r *run) {
	s.records.queued(r)
	s.queue.add(r)
	s.fill()
	s.sample()
}

// fill gives free slots to the runs at the head of the queue.
func (s *scheduler) fill() {
	for s.queue.Len() > 0 && len(s.running) < s.config.Slots {
		if s.reserved+s.queue.list[0].reserve() > s.config.KVTokens {
			return
		}
		s.start(s.queue.take())
	}
}

func (s *scheduler) start(r *run) {
	s.running = append(s.running, r)
	s.reserved += r.reserve()
	r.phase = PhasePrefill
	blocks := r.blocks()
	r.cached = max(r.kv, s.cache.match(blocks)*BlockTokens)
	s.records.started(r)

	now := s.host.Now()
	cost := time.Duration(len(r.context)-r.cached) * s.config.PrefillTokenTime
	s.prefillFree = max(s.prefillFree, now).Add(cost)
	s.host.After(s.prefillFree.Sub(now), func() { s.prefilled(r, blocks) })
}

func (s *scheduler) prefilled(r *run, blocks []Block) {
	if r.phase != PhasePrefill {
		return
	}
	s.cache.insert(Root(r.request.Model, r.request.Adapter), blocks)
	r.phase = PhaseDecode
	r.witness.Phase = r.phase
	if r.next >= r.length {
		r.write(r.lastChunk())
		s.end(r, PhaseCompleted)
	}
	s.nextStep()
}

// nextStep sets the timer of the next step, unless there is one or no run
// decodes.
func (s *scheduler) nextStep() {
	n := s.decoding()
	if s.stepping || n == 0 {
		return
	}
	s.stepping = true
	factor := 1 + s.config.BatchSlowdown*float64(n-1)
	s.host.After(time.Duration(float64(s.config.TokenTime)*factor), s.step)
}

func (s *scheduler) step() {
	s.stepping = false
	n := 0
	for _, r := range slices.Clone(s.running) {
		if r.phase != PhaseDecode {
			continue
		}
		n++
		r.emit()
		if r.next >= r.length {
			s.end(r, PhaseCompleted)
		}
	}
	s.rate.add(s.host.Now(), n)
	s.sample()
	s.nextStep()
}

func (s *scheduler) decoding() int {
	n := 0
	for _, r := range s.running {
		if r.phase == PhaseDecode {
			n++
		}
	}
	return n
}

// end stops a run, in whatever phase it is, and ends its streams.
func (s *scheduler) end(r *run, phase Phase) {
	if r.phase.isEnded() {
		return
	}
	if r.phase == PhaseQueued {
		s.queue.remove(r)
	} else {
		s.running = slices.DeleteFunc(s.running, func(other *run) bool { return other == r })
		s.reserved -= r.reserve()
	}
	r.phase = phase
	s.records.ended(r)
	r.endStreams()
	s.host.After(s.config.KeepEnded, func() { s.records.forget(r) })
	s.fill()
	s.sample()
}

// detached ends a run some time after its last caller has gone, unless another
// one has come.
func (s *scheduler) detached(r *run) {
	r.detached++
	epoch := r.detached
	s.host.After(s.config.Linger, func() {
		if r.detached == epoch && len(r.watchers) == 0 {
			s.end(r, PhaseAbandoned)
		}
	})
}

func (s *scheduler) sample() {
	s.history.add(s.host.Now(), Load{
		Running:      len(s.running),
		Queued:       s.queue.Len(),
		KVUsedTokens: s.used(),
	})
}

func (s *scheduler) used() int {
	n := s.cache.tokens()
	for _, r := range s.running {
		n += r.tokens()
	}
	return n
}

// load returns the load as it was before the lag.
func (s *scheduler) load() Load {
	now := s.host.Now()
	at := now.Add(-s.config.LoadLag)
	load := s.history.at(at)
	load.KVTotalTokens = s.config.KVTokens + max(s.config.CacheBlocks, 0)*BlockTokens
	load.TokensPerSecond = s.rate.at(at)
	load.MeasuredAtMillis = unixMillis(at, now)
	return load
}
