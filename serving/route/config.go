package route

import (
	"math/rand/v2"

	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// DefaultScanLimit is the ScanLimit of a zero Config.
const DefaultScanLimit = 16

// Config holds the parameters of a Router. The zero value works.
type Config struct {
	// Policy is the policy; empty or unknown means DefaultPolicy.
	Policy Policy
	// Index limits the index of prefix caches.
	Index prefix.IndexConfig
	// Health configures the ejection of failing replicas.
	Health health.Config
	// ScanLimit is the size of a pool up to which Choose compares all of its
	// replicas. In a larger pool it compares a sample. 0 means DefaultScanLimit.
	ScanLimit int
	// Rand breaks ties and draws samples; nil means a generator with a fixed
	// seed.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	if !c.Policy.isKnown() {
		c.Policy = DefaultPolicy
	}
	if c.ScanLimit <= 0 {
		c.ScanLimit = DefaultScanLimit
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}
