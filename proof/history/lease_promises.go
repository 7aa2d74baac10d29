package history

// The promises of a lease that violations are looked for by.
const (
	// NumberHasOneHolder means that no two holders use one fencing number.
	NumberHasOneHolder = "a fencing number has one holder"
	// RowKeepsNumbers means that no write in a timeline of the table brings back a number
	// below one that was given out and used in it: the next number is made from the row.
	RowKeepsNumbers = "the row names no lower number than one used in its timeline"
	// DutiesGoOn means that somebody holds the lease a takeover's time after all trouble,
	// and after a restore that follows it, unless all candidates have released it.
	DutiesGoOn = "the duties go on"
	// HolderIsKnown means that all candidates know the holder by then.
	HolderIsKnown = "each candidate learns of the holder"
)
