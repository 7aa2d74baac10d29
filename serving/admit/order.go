package admit

// order is an ordering of items in a heap.
type order int

const (
	// byUrgency orders the items of a flow: priority, then latest start.
	byUrgency order = iota
	// byExpiry orders all items by when they expire.
	byExpiry
	// orders is the number of orderings.
	orders
)

func (o order) less(a, b *item) bool {
	if o == byExpiry {
		return a.expires < b.expires
	}
	if a.entry.Priority != b.entry.Priority {
		return a.entry.Priority > b.entry.Priority
	}
	if a.startBy != b.startBy {
		return a.startBy < b.startBy
	}
	return a.entry.Arrived < b.entry.Arrived
}
