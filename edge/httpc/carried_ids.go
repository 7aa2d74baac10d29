package httpc

import "slices"

// maxCarriedIDs bounds the IDs that one connection carries.
const maxCarriedIDs = 1024

// carriedIDs are the IDs that one connection has carried, as hashes. A second response to
// a call repeats its ID, so that it could be taken for the response to a later call with
// the same ID: a connection carries each ID once.
type carriedIDs struct {
	hashes []uint64
}

// has reports whether an ID is among them.
func (c *carriedIDs) has(hash uint64) bool {
	return slices.Contains(c.hashes, hash)
}

// add adds an ID. It must not be called when they are full.
func (c *carriedIDs) add(hash uint64) {
	c.hashes = append(c.hashes, hash)
}

// isFull reports whether the connection must carry no further ID.
func (c *carriedIDs) isFull() bool {
	return len(c.hashes) >= maxCarriedIDs
}
