package history

import "fmt"

// Violation is a promise that a run did not keep.
type Violation struct {
	// Seed repeats the run.
	Seed uint64
	// Promise names what was not kept.
	Promise string
	// Detail says where.
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("seed %d: %s: %s", v.Seed, v.Promise, v.Detail)
}
