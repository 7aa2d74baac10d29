package quota

// Limit is a limit as a process knows it from its configuration.
type Limit struct {
	// Name names the limit.
	Name string
	// Total is the limit in its unit.
	Total uint64
	// Configuration is the version of the configuration that says so.
	Configuration uint64
}
