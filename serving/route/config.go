package route

import "math/rand/v2"

// Config holds the parameters of a Router. The zero value works.
type Config struct {
	// Policy names the policy; empty or unknown means DefaultPolicy.
	Policy Policy
	// Rand breaks ties and draws samples; nil means a generator with a fixed
	// seed.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	switch c.Policy {
	case RoundRobin, LeastRequests:
	default:
		c.Policy = DefaultPolicy
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}
