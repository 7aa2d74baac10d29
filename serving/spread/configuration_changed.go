package spread

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// ConfigurationChanged says that a higher version of the configuration was
// taken.
type ConfigurationChanged struct {
	// Configuration must not be changed.
	Configuration *intent.Configuration
	// From names the peer that it came from; empty if it was published here.
	From string
}

func (ConfigurationChanged) isAction() {}
