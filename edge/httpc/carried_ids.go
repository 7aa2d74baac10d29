package httpc

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs bounds the IDs that are kept of one connection.
const maxCarriedIDs = 1024

// carriedIDs are the IDs of the last requests that one connection has carried, as hashes.
type carriedIDs struct {
	hashes []uint64
}

// has reports whether an ID is among them.
func (c *carriedIDs) has(id string) bool {
	return slices.Contains(c.hashes, xxhash.Sum64String(id))
}

// add adds an ID, in place of the oldest ones if there are too many.
func (c *carriedIDs) add(id string) {
	if len(c.hashes) == maxCarriedIDs {
		c.hashes = append(c.hashes[:0], c.hashes[maxCarriedIDs/2:]...)
	}
	c.hashes = append(c.hashes, xxhash.Sum64String(id))
}
