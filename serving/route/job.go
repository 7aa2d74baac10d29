package route

import "time"

// maxUrgentTarget is the largest LatencyTarget with which a job is urgent.
const maxUrgentTarget = 1500 * time.Millisecond

// Job holds the properties of a request that its routing depends on.
type Job struct {
	// Pool is the pool that may run it.
	Pool string
	// Model is the model; empty for a plain service.
	Model string
	// Adapter is the adapter of the model; empty for none.
	Adapter string
	// PromptBlocks are the hashes of the blocks of the prompt, by prefix.Blocks.
	PromptBlocks []uint64
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// MaxTokens limits the number of generated tokens.
	MaxTokens int
	// Remaining is the time until the deadline of the whole response; 0 if there
	// is none.
	Remaining time.Duration
	// LatencyTarget is the time left until the first token is due; 0 or less if
	// there is no target or it has passed.
	LatencyTarget time.Duration
	// Avoid lists the IDs of the replicas that were tried before.
	Avoid []string
	// Customer is the customer that the request belongs to.
	Customer string
}

// isUrgent reports whether the latency target is near and hasn't passed.
func (j *Job) isUrgent() bool {
	return j.LatencyTarget > 0 && j.LatencyTarget <= maxUrgentTarget
}

func (j *Job) avoids(id string) bool {
	for _, tried := range j.Avoid {
		if tried == id {
			return true
		}
	}
	return false
}
