package bench

// Pool is a group of upstreams of a member.
type Pool struct {
	// Name names it.
	Name string
	// Model is the model served; empty for a plain service.
	Model string
	// Machines holds the class of each replica; they are spread over the
	// failure domains in turn.
	Machines []Machine
}
