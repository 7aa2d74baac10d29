package row

// Transaction is a set of changes that take effect together or not at all.
// No two changes may name the same row.
type Transaction struct {
	// Changes holds at most MaxChanges changes.
	Changes []Change
}

// MaxChanges is the largest number of changes in one transaction.
const MaxChanges = 100
