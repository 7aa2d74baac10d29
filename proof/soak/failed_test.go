package soak_test

// failed are seeds that once found something, and one that never did; CI plays
// them.
var failed = []uint64{
	1, // found nothing but a limit that was exceeded
	3, // a refusal of what had run, a dropped key in use, a limit that was exceeded, the copy of a refusal, lost upstreams
}
