package command

import (
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/objects"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
	"github.com/sycamorecourse/sycamorecourse/standin/site"
	"github.com/sycamorecourse/sycamorecourse/standin/table"
	"github.com/sycamorecourse/sycamorecourse/standin/weights"
)

// The limits of the settings.
const (
	maxCount    = 1_000_000_000
	maxReplicas = 1000
	maxSetTime  = time.Hour
)

// The members that can be run.
const (
	memberNoranbus    = site.MemberNoranbus
	memberCooperative = site.MemberCooperative
	memberBoth        = "both"
)

// The texts of a setting that is on or off.
const (
	settingOn  = "true"
	settingOff = "false"
)

// StandinSettings are the settings of the command standin.
type StandinSettings struct {
	address          string
	member           string
	seed             int
	engines          int
	services         int
	tableReads       int
	tableWrites      int
	objectCalls      int
	weightBytes      int
	weightRate       int
	cloudCalls       int
	listLag          time.Duration
	bootTime         time.Duration
	startEmpty       string
	tokenTime        time.Duration
	prefillTokenTime time.Duration
	batchSlowdown    int
	slots            int
	queueLimit       int
	cacheBlocks      int
	kvTokens         int
	kvTokenTime      time.Duration
	loadTime         time.Duration
	loadLag          time.Duration
	cacheLag         time.Duration
	cacheGapEvery    int
	linger           time.Duration
	fencingChecked   string
	serviceLatency   time.Duration
}

func (s *StandinSettings) declare(set *settings.Set) {
	set.Address(&s.address, "base-address", "127.0.0.1:0", "address of the table service; object store, cloud and weight store take the next ports", true)
	set.OneOf(&s.member, "member", memberBoth, "whose pools to run", memberBoth, memberNoranbus, memberCooperative)
	set.Int(&s.seed, "seed", 1, "seed of the random choices", 0, maxCount)
	set.Int(&s.engines, "engines", -1, "engines in each pool of engines; -1 takes the size of today", -1, maxReplicas)
	set.Int(&s.services, "services", -1, "services in each pool of services; -1 takes the size of today", -1, maxReplicas)
	s.declarePlatform(set)
	s.declareUpstreams(set)
}

func (s *StandinSettings) declarePlatform(set *settings.Set) {
	set.Int(&s.tableReads, "table-reads-per-second", 2000, "items read from the table in a second; 0 is no limit", 0, maxCount)
	set.Int(&s.tableWrites, "table-writes-per-second", 400, "items written to the table in a second; 0 is no limit", 0, maxCount)
	set.Int(&s.objectCalls, "object-calls-per-second", 0, "calls to the object store in a second; 0 is no limit", 0, maxCount)
	set.Int(&s.weightBytes, "weight-bytes", 0, "size of the weights of a model, in bytes", 0, maxCount)
	set.Int(&s.weightRate, "weight-bytes-per-second", 0, "rate of the weight store; 0 is no limit", 0, maxCount)
	set.Int(&s.cloudCalls, "cloud-calls-per-second", 0, "calls to the cloud in a second; 0 is no limit", 0, maxCount)
	set.Duration(&s.listLag, "list-lag", 2*time.Second, "age of the list of instances", 0, maxSetTime)
	set.Duration(&s.bootTime, "boot-time", time.Second, "time until a new instance is live", 0, maxSetTime)
	set.OneOf(&s.startEmpty, "start-empty", settingOff, "start the engines of new instances without models", settingOff, settingOn)
}

func (s *StandinSettings) declareUpstreams(set *settings.Set) {
	set.Duration(&s.tokenTime, "token-time", engine.DefaultTokenTime, "time between two tokens", time.Microsecond, maxSetTime)
	set.Duration(&s.prefillTokenTime, "prefill-token-time", 200*time.Microsecond, "time to compute a token of a prompt", 0, maxSetTime)
	set.Int(&s.batchSlowdown, "batch-slowdown-percent", 3, "part of the token time that each further request of a batch adds", 0, maxReplicas)
	set.Int(&s.slots, "slots", 16, "requests that an engine runs together", 1, maxCount)
	set.Int(&s.queueLimit, "queue-limit", 1024, "requests that wait at an engine", 1, maxCount)
	set.Int(&s.cacheBlocks, "cache-blocks", 4096, "blocks of "+strconv.Itoa(engine.BlockTokens)+" tokens in the prefix cache", 1, maxCount)
	set.Int(&s.kvTokens, "kv-tokens", 1<<18, "tokens that running requests may hold", 1, maxCount)
	set.Duration(&s.kvTokenTime, "kv-token-time", 0, "time to export or import the KV cache of a token", 0, maxSetTime)
	set.Duration(&s.loadTime, "load-time", time.Second, "time to load a model", 0, maxSetTime)
	set.Duration(&s.loadLag, "load-lag", 500*time.Millisecond, "age of a reported load", 0, maxSetTime)
	set.Duration(&s.cacheLag, "cache-lag", 500*time.Millisecond, "lateness of cache events", 0, maxSetTime)
	set.Int(&s.cacheGapEvery, "cache-gap-every", 20, "one of so many cache events is dropped; 0 drops none", 0, maxCount)
	set.Duration(&s.linger, "linger", 5*time.Second, "time for which a request goes on without a caller", time.Millisecond, maxSetTime)
	set.OneOf(&s.fencingChecked, "fencing-checked", settingOn, "engines refuse orders with an old fencing number", settingOn, settingOff)
	set.Duration(&s.serviceLatency, "service-latency", 20*time.Millisecond, "time from a call of a service to its answer", 0, maxSetTime)
}

// config returns the site that the settings describe.
func (s *StandinSettings) config() site.Config {
	return site.Config{
		Address: s.address,
		Members: s.members(),
		Table: table.Config{
			ReadsPerSecond:  float64(s.tableReads),
			WritesPerSecond: float64(s.tableWrites),
		},
		Objects:             objects.Config{CallsPerSecond: float64(s.objectCalls)},
		Weights:             weights.Config{Bytes: int64(s.weightBytes), BytesPerSecond: float64(s.weightRate)},
		Engine:              s.engine(),
		Service:             service.Config{Latency: s.serviceLatency},
		StartEmpty:          s.startEmpty == settingOn,
		BootTime:            s.bootTime,
		ListLag:             s.listLag,
		CloudCallsPerSecond: float64(s.cloudCalls),
	}
}

func (s *StandinSettings) engine() engine.Config {
	const percent = 100
	return engine.Config{
		Seed:             uint64(s.seed),
		FencingChecked:   s.fencingChecked == settingOn,
		LoadTime:         s.loadTime,
		Slots:            s.slots,
		QueueLimit:       s.queueLimit,
		TokenTime:        s.tokenTime,
		BatchSlowdown:    float64(s.batchSlowdown) / percent,
		PrefillTokenTime: s.prefillTokenTime,
		CacheBlocks:      s.cacheBlocks,
		KVTokens:         s.kvTokens,
		KVTokenTime:      s.kvTokenTime,
		LoadLag:          s.loadLag,
		CacheLag:         s.cacheLag,
		CacheGapEvery:    s.cacheGapEvery,
		AbandonTimeout:   s.linger,
	}
}

func (s *StandinSettings) members() []site.Member {
	var members []site.Member
	if s.member != memberCooperative {
		members = append(members, site.Noranbus().WithReplicas(s.engines, s.services))
	}
	if s.member != memberNoranbus {
		members = append(members, site.Cooperative().WithReplicas(s.engines, s.services))
	}
	return members
}
