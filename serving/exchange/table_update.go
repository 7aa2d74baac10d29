package exchange

import "time"

// TableUpdate is what has changed in a table.
type TableUpdate struct {
	// Table names the table.
	Table string `cbor:"1,keyasint"`
	// Version is the version of the store up to which the update is complete.
	Version uint64 `cbor:"2,keyasint"`
	// Full is set if Entries is the whole table and not only what has changed.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Entries are the changed rows, in any order.
	Entries []Entry `cbor:"4,keyasint,omitempty"`
	// Age is the time since the sender last knew that its copy was current.
	Age time.Duration `cbor:"5,keyasint"`
	// Available is set if the sender's last call to the store for this table
	// succeeded.
	Available bool `cbor:"6,keyasint,omitempty"`
	// Timeline is that of the store which has Version; 0 if the store does not tell.
	Timeline uint64 `cbor:"7,keyasint,omitempty"`
	// Since is the version after which Entries has all changes. Senders of former releases
	// leave it out; they have all changes since the version in the Poll.
	Since uint64 `cbor:"8,keyasint,omitempty"`
}

// Span returns the part of the table's history that the update tells.
func (u TableUpdate) Span() Span {
	return Span{End: Position{Timeline: u.Timeline, Version: u.Version}, IsList: u.Full, Since: u.Since}
}

// maxNewsAge is the age up to which an update counts as current.
const maxNewsAge = 1500 * time.Millisecond

// IsCurrent reports whether a receiver may rely on the update instead of asking the
// store.
func (u TableUpdate) IsCurrent() bool {
	return u.Available && u.Version > 0 && u.Age <= maxNewsAge
}
