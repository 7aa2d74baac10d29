package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The natural length of an answer lies from minLength to
// minLength+lengthSpread-1 tokens.
const (
	minLength    = 1024
	lengthSpread = 4096
)

// The reasons for the end of an answer.
const (
	// FinishStop ends an answer at its natural length.
	FinishStop = "stop"
	// FinishLength ends an answer at the limit of the request.
	FinishLength = "length"
)

// Token returns the text of token i of an answer. All tokens but the first
// begin with a space.
func Token(model, adapter, prompt string, i int) string {
	return tokenOf(answerSeed(model, adapter, prompt), i)
}

// Answer returns the text of the first n tokens of an answer.
func Answer(model, adapter, prompt string, n int) string {
	seed := answerSeed(model, adapter, prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(tokenOf(seed, i))
	}
	return text.String()
}

// Length returns the number of tokens of a whole answer under the limit of its
// request, and the reason for its end.
func Length(model, adapter, prompt string, maxTokens int) (int, string) {
	natural := minLength + int(answerSeed(model, adapter, prompt)%lengthSpread)
	if maxTokens < natural {
		return maxTokens, FinishLength
	}
	return natural, FinishStop
}

func answerSeed(model, adapter, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
}

func tokenOf(seed uint64, i int) string {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], seed)
	binary.BigEndian.PutUint64(raw[8:], uint64(i))
	word := fmt.Sprintf("%08x", uint32(xxhash.Sum64(raw[:])))
	if i == 0 {
		return word
	}
	return " " + word
}
