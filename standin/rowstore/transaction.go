package rowstore

// transaction is a transaction on the wire.
type transaction struct {
	Expect []Row `json:"expect_rev"`
	Puts   []Row `json:"puts"`
	Delete []Row `json:"delete"`
}
