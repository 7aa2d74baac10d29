package route

import "time"

// candidate is an upstream that a job could run on, with the predictions for
// it.
type candidate struct {
	upstream *upstream
	// cached and uncached are the numbers of prompt tokens in the prefix cache
	// and of those to prefill.
	cached, uncached int
	// baseline is the time to the first token of an upstream of baseline speed,
	// and predicted that of this one.
	baseline, predicted time.Duration
	// cost is the prefill time multiplied by the price of the instance.
	cost float64
}
