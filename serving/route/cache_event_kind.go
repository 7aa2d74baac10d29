package route

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind int

// The kinds of cache event.
const (
	// CacheStored means that the blocks were added to the cache.
	CacheStored CacheEventKind = iota
	// CacheRemoved means that the blocks were evicted from the cache.
	CacheRemoved
	// CacheCleared means that the cache is empty.
	CacheCleared
)
