package spread

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// ConfigurationUpdate carries a confirmed configuration.
type ConfigurationUpdate struct {
	// Configuration is shared and must not be modified.
	Configuration *intent.Configuration `cbor:"1,keyasint"`
}

func (*ConfigurationUpdate) isMessage() {}
