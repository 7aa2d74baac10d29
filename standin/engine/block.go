package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// Block identifies a block of the prefix cache by a hash of its tokens and of
// all tokens before it.
type Block uint64

// String implements fmt.Stringer.
func (b Block) String() string {
	return fmt.Sprintf("%016x", uint64(b))
}

// RootBlock returns the parent of the first block of a prompt: the 64-bit
// xxHash of the model, a zero byte and the adapter.
func RootBlock(model, adapter string) Block {
	return Block(xxhash.Sum64String(model + "\x00" + adapter))
}

// TextBlocks returns the blocks of a text, without an incomplete last one. Each
// is the 64-bit xxHash of its parent, as 8 bytes in big-endian order, followed
// by its words joined by spaces.
func TextBlocks(model, adapter, text string) []Block {
	return hashBlocks(model, adapter, strings.Fields(text))
}

func hashBlocks(model, adapter string, words []string) []Block {
	parent := RootBlock(model, adapter)
	blocks := make([]Block, 0, len(words)/BlockTokens)
	for len(words) >= BlockTokens {
		parent = childBlock(parent, words[:BlockTokens])
		blocks = append(blocks, parent)
		words = words[BlockTokens:]
	}
	return blocks
}

func childBlock(parent Block, words []string) Block {
	raw := binary.BigEndian.AppendUint64(nil, uint64(parent))
	raw = append(raw, strings.Join(words, " ")...)
	return Block(xxhash.Sum64(raw))
}
