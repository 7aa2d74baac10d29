package bench

import "container/list"

// blockCache is the prefix cache of an engine: the least recently used blocks
// go first.
type blockCache struct {
	room  int
	order *list.List
	place map[uint64]*list.Element
}

func newBlockCache(room int) *blockCache {
	return &blockCache{room: room, order: list.New(), place: make(map[uint64]*list.Element)}
}

// match returns how many of the first blocks are cached.
func (c *blockCache) match(blocks []uint64) int {
	for i, b := range blocks {
		e := c.place[b]
		if e == nil {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(blocks)
}

// store adds blocks and returns those that are new and those that had to go.
func (c *blockCache) store(blocks []uint64) (stored, removed []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.place[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.place[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.room {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.place, b)
		removed = append(removed, b)
	}
	return stored, removed
}
