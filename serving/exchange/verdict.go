package exchange

// Verdict tells what a follower of a table does with an update.
type Verdict string

// Verdicts.
const (
	// Applied updates are taken over.
	Applied Verdict = "applied"
	// Restored is the verdict on the first list of a later timeline than that of what is
	// known. It is taken over, though it may be older.
	Restored Verdict = "restored"
	// Stale updates tell nothing new.
	Stale Verdict = "stale"
	// Gap is the verdict on changes that may tell something new and can't be applied, since
	// others before them are missing. The whole table has to be read.
	Gap Verdict = "gap"
)

// IsApplied reports whether the update is taken over.
func (v Verdict) IsApplied() bool {
	return v == Applied || v == Restored
}
