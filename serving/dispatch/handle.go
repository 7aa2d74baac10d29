package dispatch

// Handle names a caller's open exchange at this gateway.
type Handle uint64
