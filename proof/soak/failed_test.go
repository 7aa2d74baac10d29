package soak_test

// failed are seeds that once found something, and one that never did; CI plays
// them.
var failed = []uint64{
	1, // found nothing
}
