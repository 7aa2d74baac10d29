package follow

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// configurationPublished is a confirmed configuration read from the store.
type configurationPublished struct {
	configuration *intent.Configuration
}

func (configurationPublished) isEvent() {}
