package route

import "fmt"

// NoReplicaError reports that no live replica can run a job.
type NoReplicaError struct {
	// Pool is the pool of the job.
	Pool string
	// Model is the model of the job.
	Model string
	// Tried is the number of live replicas that the job has tried before.
	Tried int
}

// Error implements error.
func (e *NoReplicaError) Error() string {
	return fmt.Sprintf("no live replica in pool %q for model %q, %d tried before", e.Pool, e.Model, e.Tried)
}
