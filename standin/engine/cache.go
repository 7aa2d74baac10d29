package engine

import "container/list"

// cache is the prefix cache: blocks in the order of their last use. Each
// insert and evict is told to the log.
type cache struct {
	capacity int
	recent   *list.List
	entries  map[Block]*list.Element
	log      *eventLog
}

func newCache(capacity int, log *eventLog) *cache {
	return &cache{
		capacity: capacity,
		recent:   list.New(),
		entries:  make(map[Block]*list.Element),
		log:      log,
	}
}

// match returns the number of leading blocks that are cached and marks them
// as used.
func (c *cache) match(blocks []Block) int {
	for i, b := range blocks {
		entry, ok := c.entries[b]
		if !ok {
			return i
		}
		c.recent.MoveToFront(entry)
	}
	return len(blocks)
}

// insert adds the blocks of a prefix, which begins at root.
func (c *cache) insert(root Block, blocks []Block) {
	if c.capacity <= 0 {
		return
	}
	// The last block is used first, so that a prefix loses its end before its
	// beginning.
	for _, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			c.add(b, root)
		}
		root = b
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if entry, ok := c.entries[blocks[i]]; ok {
			c.recent.MoveToFront(entry)
		}
	}
	for c.recent.Len() > c.capacity {
		c.evict()
	}
}

// tokens returns the number of tokens that are cached.
func (c *cache) tokens() int {
	return c.recent.Len() * BlockTokens
}

func (c *cache) add(b, parent Block) {
	c.entries[b] = c.recent.PushFront(b)
	c.log.add(EventInsert, b, parent)
}

func (c *cache) evict() {
	last := c.recent.Back()
	c.recent.Remove(last)
	if b, ok := last.Value.(Block); ok {
		delete(c.entries, b)
		c.log.add(EventEvict, b, 0)
	}
}
