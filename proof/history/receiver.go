package history

// receiver takes orders under fencing numbers and keeps the highest.
type receiver struct {
	highest uint64
	older   int // orders that took effect after one with a higher number
	taken   int
}

// take lets an order take effect whatever its number.
func (r *receiver) take(fence uint64) {
	r.taken++
	if fence < r.highest {
		r.older++
	}
	r.highest = max(r.highest, fence)
}

// check refuses an order with an older number than the highest.
func (r *receiver) check(fence uint64) {
	if fence >= r.highest {
		r.take(fence)
	}
}
