package engine

import (
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// run is one execution of a request. A request that is sent again gets a new
// run.
type run struct {
	request Request
	arrival uint64
	seed    uint64
	// contextTokens are the tokens to prefill: the prompt and the resumed text.
	contextTokens []string
	promptTokens  int
	// length is the number of tokens of the whole completion.
	length       int
	finishReason string
	// importedTokens is the number of context tokens in an imported KV cache.
	importedTokens int

	phase Phase
	// nextToken is the index of the next token to generate.
	nextToken int
	// cachedTokens is the number of context tokens that prefill skips.
	cachedTokens int
	callers      []*host.Call
	// detachCount counts how often the last caller left, so that only the
	// abandon timer of the latest time can end the run.
	detachCount int
	record      *RunRecord
}

// newRun returns a queued run.
func newRun(request Request, arrival uint64) *run {
	words := strings.Fields(request.Prompt)
	length, finish := CompletionLength(request.Model, request.Adapter, request.Prompt, request.MaxTokens)
	return &run{
		request:       request,
		arrival:       arrival,
		seed:          completionSeed(request.Model, request.Adapter, request.Prompt),
		contextTokens: append(words[:len(words):len(words)], strings.Fields(request.ResumeText)...),
		promptTokens:  len(words),
		length:        length,
		finishReason:  finish,
		phase:         PhaseQueued,
		nextToken:     request.ResumeFrom,
	}
}

// kvTokens returns the number of tokens in the KV cache of the run.
func (r *run) kvTokens() int {
	return r.promptTokens + r.nextToken
}

// maxKVTokens returns the number of tokens in the KV cache when the run
// completes, which is reserved at its start.
func (r *run) maxKVTokens() int {
	return r.promptTokens + max(r.length, r.nextToken)
}

func (r *run) blocks() []Block {
	return hashBlocks(r.request.Model, r.request.Adapter, r.contextTokens)
}

func (r *run) usage() *Usage {
	recomputed := 0
	if r.request.ResumeFrom > 0 {
		recomputed = len(r.contextTokens) - r.cachedTokens
	}
	return &Usage{
		PromptTokens:     r.promptTokens,
		CachedTokens:     r.cachedTokens,
		RecomputedTokens: recomputed,
		CompletionTokens: r.nextToken,
	}
}

// chunk encodes token i, which must have been generated.
func (r *run) chunk(i int) []byte {
	c := r.newChunk(i)
	c.Choices[0].Text = tokenFromSeed(r.seed, i)
	if i == r.length-1 {
		r.setFinish(c)
	}
	return sseEvent(c)
}

// emptyLastChunk encodes the finish reason and the usage without a token, for a
// stream that resumes after the last one.
func (r *run) emptyLastChunk() []byte {
	c := r.newChunk(r.nextToken)
	r.setFinish(c)
	return sseEvent(c)
}

func (r *run) newChunk(i int) *Chunk {
	return &Chunk{
		ID:      r.request.RequestID,
		Object:  "text_completion",
		Model:   r.request.Model,
		Choices: []Choice{{TokenIndex: i}},
	}
}

func (r *run) setFinish(c *Chunk) {
	c.Choices[0].FinishReason = &r.finishReason
	c.Usage = r.usage()
}
