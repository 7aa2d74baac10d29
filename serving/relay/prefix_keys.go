package relay

import "math/bits"

// prefixKeys returns a hash for each prefix of a prompt that consists of whole
// parts. Two prompts share a key if they share all parts up to that point.
func prefixKeys(p *Prompt) []uint64 {
	if p == nil {
		return nil
	}
	keys := make([]uint64, len(p.Parts))
	var key uint64
	for i, part := range p.Parts {
		key = bits.RotateLeft64(key*0x9e3779b97f4a7c15, 29) ^ part.ID*0xff51afd7ed558ccd
		keys[i] = key
	}
	return keys
}
