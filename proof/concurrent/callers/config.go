package callers

import "time"

// Config sets up a Group.
type Config struct {
	// Name begins the keys.
	Name string
	// Gateways are addresses of gateways.
	Gateways []string
	// Customers own the callers in turn.
	Customers []Customer
	// Count is the number of callers.
	Count int
	// Seed fixes the choices of all callers.
	Seed uint64
	// Kinds are chosen from at random; empty is all.
	Kinds []Kind
	// Model is asked for.
	Model string
	// Service is called.
	Service string
	// MaxTokens bounds an answer. Default 16.
	MaxTokens int
	// Deadline bounds a submission. Default 20 s.
	Deadline time.Duration
	// Pause is the time between two submissions of a caller. Default 5 ms.
	Pause time.Duration
	// Requests is the number of submissions of each caller; 0 is no limit.
	Requests int
	// SharedEvery makes one of so many submissions use a key that all callers
	// of a customer use; 0 is none.
	SharedEvery int
	// HastyEvery gives one of so many submissions a deadline too short for the
	// whole answer; 0 is none.
	HastyEvery int
	// MaxTries bounds how often a client sends or resumes a request; 0 is the
	// client's default. Every second caller keeps to it, so that refusals are
	// seen as well as what comes after them.
	MaxTries int
}

const (
	defaultMaxTokens = 16
	defaultDeadline  = 20 * time.Second
	defaultPause     = 5 * time.Millisecond
	// hastyDeadline is too short for a whole answer of an engine.
	hastyDeadline = 20 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if len(c.Kinds) == 0 {
		c.Kinds = []Kind{Repeatable, Once, Boarding, Lookup}
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if c.Deadline <= 0 {
		c.Deadline = defaultDeadline
	}
	if c.Pause <= 0 {
		c.Pause = defaultPause
	}
	return c
}
