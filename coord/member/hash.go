package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ringPosition returns the position of an instance on a ring.
func ringPosition(ring int, instance string) uint64 {
	return hash(uint64(ring), instance)
}

// rendezvousWeight returns the rendezvous weight of two instances, in either
// order.
func rendezvousWeight(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return hash(uint64(len(a)), a+b)
}

func (u Update) digest() uint64 {
	flags := uint64(u.Liveness)
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
