package admit

// order is an ordering of items in a heap.
type order int

const (
	// byUrgency orders the items of a flow by priority, latest start and
	// arrival.
	byUrgency order = iota
	// byExpiry orders all items by the latest start for their deadline.
	byExpiry
	// orderCount is the number of orderings.
	orderCount
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
