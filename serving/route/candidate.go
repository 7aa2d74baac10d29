package route

import "time"

// candidate is an upstream that a job could run at.
type candidate struct {
	upstream *upstream
	// cached and uncached are prompt tokens.
	cached, uncached int
	// ordinary is the time to the first token at ordinary speed, and predicted
	// that at the upstream's own.
	ordinary, predicted time.Duration
	// cost is what computing the job takes, in machine time by price.
	cost float64
}
