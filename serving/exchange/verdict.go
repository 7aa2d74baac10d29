package exchange

// Verdict tells what a follower of a table does with an update.
type Verdict string

// Verdicts.
const (
	// Applied updates are taken over.
	Applied Verdict = "applied"
	// Stale updates tell nothing new.
	Stale Verdict = "stale"
	// Gap is the verdict on changes that may tell something new and can't be applied, since
	// others before them are missing. The whole table has to be read.
	Gap Verdict = "gap"
)
