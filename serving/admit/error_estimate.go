package admit

import "time"

// errorEstimate tracks by how much observed times exceed their predictions, as
// exponentially weighted averages of the error and of its absolute deviation.
// The zero value expects no error.
type errorEstimate struct {
	mean, deviation time.Duration
}

// A new sample has the weight 1/meanDivisor in the mean error, and
// 1/deviationDivisor in the mean deviation.
const (
	meanDivisor      = 8
	deviationDivisor = 4
)

func (e *errorEstimate) add(observed, predicted time.Duration) {
	miss := observed - predicted - e.mean
	e.mean += miss / meanDivisor
	e.deviation += (miss.Abs() - e.deviation) / deviationDivisor
}

// margin returns what to add to a prediction so that few observed times exceed
// it.
func (e *errorEstimate) margin() time.Duration {
	return e.mean + e.deviation
}
