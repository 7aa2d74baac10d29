package engine

import "time"

// DefaultTokenTime is the default time between two tokens.
const DefaultTokenTime = 10 * time.Millisecond

// The other defaults of a Config.
const (
	defaultSlots        = 16
	defaultQueueLimit   = 1024
	defaultCacheBlocks  = 4096
	defaultKVTokens     = 1 << 18
	defaultLinger       = 5 * time.Second
	defaultKeepEnded    = 5 * time.Second
	defaultHandleExpiry = time.Minute
)

// Config sets up an Engine.
type Config struct {
	// Name names the duty; empty is engine.
	Name string
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Seed selects which cache events are dropped.
	Seed uint64
	// Models are loaded at the start.
	Models []Model
	// Adapters are loaded at the start.
	Adapters []string
	// Role is the role at the start.
	Role string
	// FencingChecked refuses an order with a fencing number lower than the
	// last one.
	FencingChecked bool
	// Loader fetches the weights of a model; nil fetches nothing.
	Loader Loader
	// LoadTime is the time to load a model once its weights are there.
	LoadTime time.Duration
	// Slots is the number of requests that run together; 0 is 16.
	Slots int
	// QueueLimit is the number of requests that may wait; 0 is 1024.
	QueueLimit int
	// TokenTime is the time between two tokens of a request that runs alone;
	// 0 is 10 ms.
	TokenTime time.Duration
	// BatchSlowdown is the part of TokenTime that each further request of the
	// batch adds.
	BatchSlowdown float64
	// PrefillTokenTime is the time to compute one token of a prompt. Prompts
	// are computed one after another.
	PrefillTokenTime time.Duration
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens;
	// 0 is 4096, and a negative number is no cache.
	CacheBlocks int
	// KVTokens is the memory for running requests, in tokens; 0 is 262144.
	KVTokens int
	// KVTokenTime is the time to export or import the KV cache of one token.
	KVTokenTime time.Duration
	// LoadLag is how old a reported load is.
	LoadLag time.Duration
	// CacheLag is how late a cache event is published.
	CacheLag time.Duration
	// CacheGapEvery drops one of so many cache events; 0 drops none.
	CacheGapEvery int
	// Linger is how long a request goes on after its last caller has gone; 0
	// is 5 s.
	Linger time.Duration
	// KeepEnded is how long the answer of an ended request can be read again;
	// 0 is 5 s.
	KeepEnded time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Name, "engine")
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.QueueLimit, defaultQueueLimit)
	setDefault(&c.TokenTime, DefaultTokenTime)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.KVTokens, defaultKVTokens)
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.KeepEnded, defaultKeepEnded)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
