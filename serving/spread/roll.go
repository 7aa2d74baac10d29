package spread

import "slices"

// bitsPerByte is the number of places in one byte.
const bitsPerByte = 8

// roll gives each member that is not gone a place. Two rolls with the same
// digest are equal.
type roll struct {
	digest uint64
	hashes []uint64
}

func newRoll(l *memberList) *roll {
	ids := make([]string, 0, l.present())
	for id, m := range l.members {
		if m.State != Gone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	r := &roll{digest: l.digest}
	for _, id := range ids {
		r.hashes = append(r.hashes, hashOf(id))
	}
	return r
}

// places returns the bits of the holders.
func (r *roll) places(holders map[uint64]bool) []byte {
	bits := make([]byte, (len(r.hashes)+bitsPerByte-1)/bitsPerByte)
	for i, h := range r.hashes {
		if holders[h] {
			bits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return bits
}

// holders returns the hashes at the places that are set.
func (r *roll) holders(places []byte) []uint64 {
	var out []uint64
	for i, h := range r.hashes {
		if i/bitsPerByte < len(places) && places[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			out = append(out, h)
		}
	}
	return out
}
