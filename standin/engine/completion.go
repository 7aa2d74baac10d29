package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The natural length of a completion lies from minNaturalLength to
// minNaturalLength+naturalLengthRange-1 tokens.
const (
	minNaturalLength   = 1024
	naturalLengthRange = 4096
)

// The finish reasons.
const (
	// FinishStop says that the completion reached its natural length.
	FinishStop = "stop"
	// FinishLength says that the completion reached the max_tokens of the
	// request.
	FinishLength = "length"
)

// CompletionToken returns the text of token i of a completion. All tokens but
// the first begin with a space.
func CompletionToken(model, adapter, prompt string, i int) string {
	return tokenFromSeed(completionSeed(model, adapter, prompt), i)
}

// CompletionText returns the text of the first n tokens of a completion.
func CompletionText(model, adapter, prompt string, n int) string {
	seed := completionSeed(model, adapter, prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(tokenFromSeed(seed, i))
	}
	return text.String()
}

// CompletionLength returns the number of tokens of a whole completion that is
// limited to maxTokens, and its finish reason.
func CompletionLength(model, adapter, prompt string, maxTokens int) (int, string) {
	natural := minNaturalLength + int(completionSeed(model, adapter, prompt)%naturalLengthRange)
	if maxTokens < natural {
		return maxTokens, FinishLength
	}
	return natural, FinishStop
}

func completionSeed(model, adapter, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
}

func tokenFromSeed(seed uint64, i int) string {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], seed)
	binary.BigEndian.PutUint64(raw[8:], uint64(i))
	word := fmt.Sprintf("%08x", uint32(xxhash.Sum64(raw[:])))
	if i == 0 {
		return word
	}
	return " " + word
}
