package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// Block identifies the content of a block of the prefix cache together with
// all that comes before it.
type Block uint64

// String implements fmt.Stringer.
func (b Block) String() string {
	return fmt.Sprintf("%016x", uint64(b))
}

// Root returns the parent of the first block of a prompt: the 64-bit xxHash of
// the model, a zero byte and the adapter.
func Root(model, adapter string) Block {
	return Block(xxhash.Sum64String(model + "\x00" + adapter))
}

// Blocks returns the whole blocks of a text: each is the 64-bit xxHash of its
// parent, as 8 bytes in big-endian order, and its words joined by spaces.
func Blocks(model, adapter, text string) []Block {
	return blocksOf(model, adapter, strings.Fields(text))
}

func blocksOf(model, adapter string, words []string) []Block {
	parent := Root(model, adapter)
	blocks := make([]Block, 0, len(words)/BlockTokens)
	for len(words) >= BlockTokens {
		parent = child(parent, words[:BlockTokens])
		blocks = append(blocks, parent)
		words = words[BlockTokens:]
	}
	return blocks
}

func child(parent Block, words []string) Block {
	raw := binary.BigEndian.AppendUint64(nil, uint64(parent))
	raw = append(raw, strings.Join(words, " ")...)
	return Block(xxhash.Sum64(raw))
}
