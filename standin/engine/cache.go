package engine

import "container/list"

// cache is the prefix cache, with least-recently-used eviction. It logs each
// insertion and eviction.
type cache struct {
	capacity int
	lru      *list.List
	entries  map[Block]*list.Element
	log      *eventLog
}

func newCache(capacity int, log *eventLog) *cache {
	return &cache{
		capacity: capacity,
		lru:      list.New(),
		entries:  make(map[Block]*list.Element),
		log:      log,
	}
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *cache) match(blocks []Block) int {
	for i, b := range blocks {
		entry, ok := c.entries[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(entry)
	}
	return len(blocks)
}

// insert caches the blocks of a prompt; root is the parent of the first one.
func (c *cache) insert(root Block, blocks []Block) {
	if c.capacity <= 0 {
		return
	}
	for _, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			c.add(b, root)
		}
		root = b
	}
	// Touch the first block last, so that a prompt loses its last blocks first:
	// a block is useless without those before it.
	for i := len(blocks) - 1; i >= 0; i-- {
		if entry, ok := c.entries[blocks[i]]; ok {
			c.lru.MoveToFront(entry)
		}
	}
	for c.lru.Len() > c.capacity {
		c.evict()
	}
}

// tokens returns the number of cached tokens.
func (c *cache) tokens() int {
	return c.lru.Len() * BlockTokens
}

func (c *cache) add(b, parent Block) {
	c.entries[b] = c.lru.PushFront(b)
	c.log.add(EventInsert, b, parent)
}

func (c *cache) evict() {
	last := c.lru.Back()
	c.lru.Remove(last)
	if b, ok := last.Value.(Block); ok {
		delete(c.entries, b)
		c.log.add(EventEvict, b, 0)
	}
}
