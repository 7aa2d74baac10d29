package relay

// Handle names a request at this gateway.
type Handle uint64
