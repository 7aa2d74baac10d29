package relay

import "github.com/cespare/xxhash/v2"

func hashOf(text string) uint64 {
	return xxhash.Sum64String(text)
}
