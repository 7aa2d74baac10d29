package relay

// Handle identifies a request within this gateway process.
type Handle uint64
