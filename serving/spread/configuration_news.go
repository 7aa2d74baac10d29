package spread

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// ConfigurationNews carries a confirmed configuration.
type ConfigurationNews struct {
	// Configuration must not be changed by the receiver.
	Configuration *intent.Configuration `cbor:"1,keyasint"`
}

func (*ConfigurationNews) isMessage() {}
