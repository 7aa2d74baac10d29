package admit

import "time"

// errorEstimate follows how far predictions are short, by the mean and the
// mean deviation. The zero value expects no error.
type errorEstimate struct {
	mean, deviation time.Duration
}

// Weights of a new value, as shares of one.
const (
	meanWeight      = 8
	deviationWeight = 4
)

func (e *errorEstimate) add(observed, predicted time.Duration) {
	miss := observed - predicted - e.mean
	e.mean += miss / meanWeight
	e.deviation += (miss.Abs() - e.deviation) / deviationWeight
}

// margin is what to add to a prediction so that few values exceed it.
func (e *errorEstimate) margin() time.Duration {
	return e.mean + e.deviation
}
