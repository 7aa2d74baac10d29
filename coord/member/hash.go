package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ringWeight places an instance in the order of a ring.
func ringWeight(ring int, instance string) uint64 {
	return hash(uint64(ring), instance)
}

// pairWeight is the rendezvous weight of two instances, the same at both ends.
func pairWeight(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return hash(uint64(len(a)), a+b)
}

func (u Update) digest() uint64 {
	flags := uint64(u.Silence)
	if u.Leaving {
		flags |= 1 << 8
	}
	return hash(flags, u.Peer.Instance) ^ hash(u.Counter, u.Peer.Instance) ^
		hash(u.Peer.Incarnation, u.Peer.FailureDomain+u.Peer.Instance)
}

func hash(number uint64, text string) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], number)
	digest := xxhash.New()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(text)
	return digest.Sum64()
}
