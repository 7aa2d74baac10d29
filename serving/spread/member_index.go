package spread

import "slices"

const bitsPerByte = 8

// memberIndex numbers the members that are not gone in the order of their IDs,
// so that a set of them can be sent as a bitmap. Indexes with the same digest
// are equal.
type memberIndex struct {
	// digest is that of the memberList.
	digest uint64
	// hashes are the hashes of the members' IDs, by number.
	hashes []uint64
}

func newMemberIndex(l *memberList) *memberIndex {
	ids := make([]string, 0, l.presentCount())
	for id, m := range l.members {
		if m.State != Gone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	x := &memberIndex{digest: l.digest}
	for _, id := range ids {
		x.hashes = append(x.hashes, hashOf(id))
	}
	return x
}

// bitmap encodes a set of holders. Holders that are not in the index are left
// out.
func (x *memberIndex) bitmap(holders map[uint64]bool) []byte {
	bits := make([]byte, (len(x.hashes)+bitsPerByte-1)/bitsPerByte)
	for i, h := range x.hashes {
		if holders[h] {
			bits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return bits
}

// holders decodes a bitmap to the hashes of the members whose bits are set.
func (x *memberIndex) holders(bitmap []byte) []uint64 {
	var out []uint64
	for i, h := range x.hashes {
		if i/bitsPerByte < len(bitmap) && bitmap[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			out = append(out, h)
		}
	}
	return out
}
