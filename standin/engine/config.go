package engine

import "time"

// DefaultTokenTime is the default time between two tokens.
const DefaultTokenTime = 10 * time.Millisecond

// The other defaults of a Config.
const (
	defaultSlots          = 16
	defaultQueueLimit     = 1024
	defaultCacheBlocks    = 4096
	defaultKVTokens       = 1 << 18
	defaultAbandonTimeout = 5 * time.Second
	defaultRetainEnded    = 5 * time.Second
	kvHandleLifetime      = time.Minute
)

// Config configures an Engine.
type Config struct {
	// Name is the name of the engine's thread and ring; the default is engine.
	Name string
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Seed selects which cache events are dropped.
	Seed uint64
	// Models are loaded from the start.
	Models []Model
	// Adapters are available from the start.
	Adapters []string
	// Role is the initial role.
	Role string
	// FencingChecked makes the engine refuse an order whose fencing number is
	// lower than that of the last order.
	FencingChecked bool
	// Loader fetches the weights of a model; nil skips the fetch.
	Loader Loader
	// LoadTime is the time to load a model after its weights were fetched.
	LoadTime time.Duration
	// Slots is the largest batch: the number of requests that run concurrently;
	// the default is 16.
	Slots int
	// QueueLimit is the number of requests that may wait; the default is 1024.
	QueueLimit int
	// TokenTime is the decode time per token at a batch size of one; the
	// default is 10 ms.
	TokenTime time.Duration
	// BatchSlowdown is the fraction of TokenTime by which each further request
	// of the batch lengthens a decode step.
	BatchSlowdown float64
	// PrefillTokenTime is the prefill time per prompt token. Prompts are
	// prefilled one after another.
	PrefillTokenTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of BlockTokens
	// tokens; the default is 4096, and a negative number disables the cache.
	CacheBlocks int
	// KVTokens is the KV cache memory for running requests, in tokens; the
	// default is 262144.
	KVTokens int
	// KVTokenTime is the time per token to export or import a KV cache.
	KVTokenTime time.Duration
	// LoadLag is the age of the load that is reported.
	LoadLag time.Duration
	// CacheLag is the delay before a cache event is published.
	CacheLag time.Duration
	// CacheGapEvery drops on average one in this many cache events; 0 drops
	// none.
	CacheGapEvery int
	// AbandonTimeout is how long a request keeps running after its last caller
	// disconnected; the default is 5 s.
	AbandonTimeout time.Duration
	// RetainEnded is how long the completion of an ended request stays
	// available for re-attaching; the default is 5 s.
	RetainEnded time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Name, "engine")
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.QueueLimit, defaultQueueLimit)
	setDefault(&c.TokenTime, DefaultTokenTime)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.KVTokens, defaultKVTokens)
	setDefault(&c.AbandonTimeout, defaultAbandonTimeout)
	setDefault(&c.RetainEnded, defaultRetainEnded)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
