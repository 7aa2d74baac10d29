package report

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// Dump is the state dump of a process.
type Dump struct {
	// Process identifies the process.
	Process Process `json:"process"`
	// Duties lists the duties of the process, each a thread, and whether it is
	// still running.
	Duties []thread.Status `json:"duties"`
	// Rings lists the state of the rings.
	Rings []ring.Stats `json:"rings"`
	// Sections holds the section of each duty by its name.
	Sections map[string]any `json:"sections"`
	// Missing names the sections that did not arrive in time.
	Missing []string `json:"missing"`
}
