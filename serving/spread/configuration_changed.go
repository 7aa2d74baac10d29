package spread

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// ConfigurationChanged is the Action that reports a higher configuration
// version.
type ConfigurationChanged struct {
	// Configuration is shared and must not be modified.
	Configuration *intent.Configuration
	// From is the ID of the peer that sent it; empty if it was published by
	// this process.
	From string
}

func (ConfigurationChanged) isAction() {}
