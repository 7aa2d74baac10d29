package route

// CacheEventKind is a kind of CacheEvent.
type CacheEventKind int

// The kinds of cache event.
const (
	// CacheStored blocks are in the cache from now on.
	CacheStored CacheEventKind = iota
	// CacheRemoved blocks are in the cache no longer.
	CacheRemoved
	// CacheCleared caches hold nothing.
	CacheCleared
)
