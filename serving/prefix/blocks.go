package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed mean length of a token of text.
const BytesPerToken = 4

// BlockTokens is the number of tokens in a block.
const BlockTokens = 64

// BlockBytes is the number of bytes of text in a block.
const BlockBytes = BlockTokens * BytesPerToken

// MaxBlocks is the maximum number of blocks that are hashed of one prompt.
const MaxBlocks = 256

// Blocks returns the hash of each whole block of a prompt, up to MaxBlocks. A
// hash covers the model, the adapter and the prompt up to the end of its block,
// so that equal hashes mean equal prefixes.
func Blocks(model, adapter, prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, 0, count)
	previous := rootHash(model, adapter)
	for i := range count {
		previous = chainHash(previous, prompt[i*BlockBytes:(i+1)*BlockBytes])
		blocks = append(blocks, previous)
	}
	return blocks
}

// Tokens estimates the number of tokens in a text from its length.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// rootHash returns the hash that precedes the first block.
func rootHash(model, adapter string) uint64 {
	return chainHash(xxhash.Sum64String(model), adapter)
}

// chainHash returns the hash of a previous hash and the text that follows.
func chainHash(previous uint64, text string) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	var d xxhash.Digest
	d.Reset()
	// Writing to a Digest never fails.
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}
