package attempt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a digest of the content of a request. It distinguishes
// a repeated request from a different one under the same key.
type Fingerprint uint64

// FingerprintOf returns the digest of the parts in order. Each part is prefixed
// with its length, so that ("ab", "c") and ("a", "bc") differ.
func FingerprintOf(parts ...[]byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = digest.Write(size[:])
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}
