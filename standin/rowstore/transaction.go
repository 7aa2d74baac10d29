package rowstore

// transaction is the request of a transaction. Puts and deletions apply only if
// every row in Expect has the given version; version 0 means that the row must
// not exist.
type transaction struct {
	Expect []Row `json:"expect_rev"`
	Puts   []Row `json:"puts"`
	Delete []Row `json:"delete"`
}
