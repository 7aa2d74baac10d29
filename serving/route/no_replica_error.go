package route

import "fmt"

// NoReplicaError reports that no live replica can run a job.
type NoReplicaError struct {
	// Pool names the pool.
	Pool string
	// Model names the model that was asked for.
	Model string
	// Tried is the number of live replicas that the job has tried before.
	Tried int
}

// Error implements error.
func (e *NoReplicaError) Error() string {
	return fmt.Sprintf("no live replica in pool %q for model %q, %d tried before", e.Pool, e.Model, e.Tried)
}
