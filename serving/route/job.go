package route

import "time"

// urgentTarget is the time to the latency target from which a job is urgent.
const urgentTarget = 1500 * time.Millisecond

// Job is what the choice of a replica depends on.
type Job struct {
	// Pool names the pool that may run it.
	Pool string
	// Model names the model; empty for a plain service.
	Model string
	// Adapter names the adapter; empty for none.
	Adapter string
	// PromptBlocks are the hashes of the blocks of the prompt, by prefix.Blocks.
	PromptBlocks []uint64
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// MaxTokens bounds the answer.
	MaxTokens int
	// Remaining is the time until the deadline of the whole answer; 0 is none.
	Remaining time.Duration
	// LatencyTarget is the time left in which the first token is wanted; 0 or
	// less means that there is no target or that it has passed.
	LatencyTarget time.Duration
	// Avoid lists the replicas that were tried before.
	Avoid []string
	// Customer is who the request is made for.
	Customer string
}

// isUrgent reports whether the first token is wanted soon and not yet too late.
func (j *Job) isUrgent() bool {
	return j.LatencyTarget > 0 && j.LatencyTarget <= urgentTarget
}

func (j *Job) avoids(id string) bool {
	for _, tried := range j.Avoid {
		if tried == id {
			return true
		}
	}
	return false
}
