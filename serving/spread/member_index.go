package spread

import "slices"

const bitsPerByte = 8

// memberIndex numbers the members that are not gone in the order of their IDs,
// so that a set of them can be sent as a bitmap. Indexes with the same digest
// are equal.
type memberIndex struct {
	// digest is that of the memberList.
	digest uint64
	// names are the members' holderNames, by number.
	names []uint64
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
		m := l.members[id]
		x.names = append(x.names, m.holderName())
	}
	return x
}

// bitmap encodes a set of holders. Holders that are not in the index are left
// out.
func (x *memberIndex) bitmap(holders map[uint64]bool) []byte {
	bits := make([]byte, (len(x.names)+bitsPerByte-1)/bitsPerByte)
	for i, h := range x.names {
		if holders[h] {
			bits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return bits
}

// holders decodes a bitmap to the names of the members whose bits are set.
func (x *memberIndex) holders(bitmap []byte) []uint64 {
	var out []uint64
	for i, h := range x.names {
		if i/bitsPerByte < len(bitmap) && bitmap[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			out = append(out, h)
		}
	}
	return out
}

// present returns those of some holders that are in the index.
func (x *memberIndex) present(holders []uint64) []uint64 {
	wanted := make(map[uint64]bool, len(holders))
	for _, h := range holders {
		wanted[h] = true
	}
	var out []uint64
	for _, h := range x.names {
		if wanted[h] {
			out = append(out, h)
		}
	}
	return out
}
