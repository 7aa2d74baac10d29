package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the mean length of a token of text.
const BytesPerToken = 4

// BlockTokens is the number of tokens in a block.
const BlockTokens = 64

// BlockBytes is the number of bytes of text in a block.
const BlockBytes = BlockTokens * BytesPerToken

// MaxBlocks bounds the blocks that are computed for one prompt.
const MaxBlocks = 256

// Blocks returns the hash of each whole block of a prompt. A hash covers the
// model, the adapter and all of the prompt up to the end of its block, so that
// equal hashes mean equal prefixes.
func Blocks(model, adapter, prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, 0, count)
	previous := seed(model, adapter)
	for i := range count {
		previous = chain(previous, prompt[i*BlockBytes:(i+1)*BlockBytes])
		blocks = append(blocks, previous)
	}
	return blocks
}

// Tokens estimates the number of tokens in a text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

func seed(model, adapter string) uint64 {
	return chain(xxhash.Sum64String(model), adapter)
}

func chain(previous uint64, text string) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	var d xxhash.Digest
	d.Reset()
	// Writing to a Digest never fails.
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}
