package lease

// countBits is the number of bits of a fencing number that count holders. Those above
// are the timeline of the table service in which the number was given out, so that it is
// higher than all numbers of former timelines, of which the service may know nothing.
const countBits = 32

// numberTimeline returns the timeline in which a fencing number was given out.
func numberTimeline(fence uint64) uint64 {
	return fence >> countBits
}

// numberAfter returns a fencing number of a timeline that is higher than another one.
func numberAfter(fence, timeline uint64) uint64 {
	return max(fence, timeline<<countBits) + 1
}
