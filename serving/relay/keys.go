package relay

import "math/bits"

// prefixKeys names each beginning of a prompt that ends with a part: two
// prompts have the same key only where all parts up to there are the same.
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
