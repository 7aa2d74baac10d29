package quota

// Limit is a limit as given by the configuration that a process knows.
type Limit struct {
	// Name names the limit.
	Name string
	// Total is the amount to divide, in the unit of the limit.
	Total uint64
	// ConfigurationVersion is the version of the configuration that set Total.
	ConfigurationVersion uint64
}
