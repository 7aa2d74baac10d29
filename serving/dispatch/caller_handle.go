package dispatch

// CallerHandle identifies the open HTTP exchange of a caller at this gateway.
type CallerHandle uint64
