package exchange

// firstTimeline is that of a store that was never restored.
const firstTimeline = 1

// Position is a point in the history of a table of the store. The store gives versions out
// again after it was restored from an older copy, so those of two timelines can't be
// compared.
type Position struct {
	// Timeline counts the restores of the store, from 1; 0 if the store does not tell.
	Timeline uint64
	// Version is the version of the store; 0 before the whole table was read.
	Version uint64
}
