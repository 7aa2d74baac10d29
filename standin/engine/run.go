package engine

import (
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// run is one execution of a request.
type run struct {
	request Request
	order   uint64
	seed    uint64
	context []string
	prompt  int
	length  int
	finish  string
	kv      int

	phase    Phase
	next     int
	cached   int
	watchers []*host.Call
	detached int
	witness  *RunWitness
}

// newRun prepares a run. The context is the prompt and the resumed text.
func newRun(request Request, order uint64) *run {
	words := strings.Fields(request.Prompt)
	length, finish := Length(request.Model, request.Adapter, request.Prompt, request.MaxTokens)
	return &run{
		request: request,
		order:   order,
		seed:    answerSeed(request.Model, request.Adapter, request.Prompt),
		context: append(words[:len(words):len(words)], strings.Fields(request.ResumeText)...),
		prompt:  len(words),
		length:  length,
		finish:  finish,
		phase:   PhaseQueued,
		next:    request.ResumeFrom,
	}
}

// tokens returns the number of tokens in the KV cache of the run.
func (r *run) tokens() int {
	return r.prompt + r.next
}

// reserve returns the number of tokens that the run may come to hold.
func (r *run) reserve() int {
	return r.prompt + max(r.length, r.next)
}

func (r *run) blocks() []Block {
	return blocksOf(r.request.Model, r.request.Adapter, r.context)
}

func (r *run) usage() *Usage {
	recomputed := 0
	if r.request.ResumeFrom > 0 {
		recomputed = len(r.context) - r.cached
	}
	return &Usage{
		PromptTokens:     r.prompt,
		CachedTokens:     r.cached,
		RecomputedTokens: recomputed,
		CompletionTokens: r.next,
	}
}

// chunk encodes token i, which has been generated.
func (r *run) chunk(i int) []byte {
	c := r.emptyChunk(i)
	c.Choices[0].Text = tokenOf(r.seed, i)
	if i == r.length-1 {
		r.close(c)
	}
	return sseEvent(c)
}

// lastChunk encodes the end of an answer without a token.
func (r *run) lastChunk() []byte {
	c := r.emptyChunk(r.next)
	r.close(c)
	return sseEvent(c)
}

func (r *run) emptyChunk(i int) *Chunk {
	return &Chunk{
		ID:      r.request.RequestID,
		Object:  "text_completion",
		Model:   r.request.Model,
		Choices: []Choice{{TokenIndex: i}},
	}
}

func (r *run) close(c *Chunk) {
	c.Choices[0].FinishReason = &r.finish
	c.Usage = r.usage()
}
