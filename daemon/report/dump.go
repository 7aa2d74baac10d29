package report

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// Dump is the state of a process.
type Dump struct {
	// Process says which process this is.
	Process Process `json:"process"`
	// Duties lists the threads of the process and whether each still runs.
	Duties []thread.Status `json:"duties"`
	// Rings lists the rings.
	Rings []ring.Stats `json:"rings"`
	// Sections holds what each duty gave.
	Sections map[string]any `json:"sections"`
	// Missing names the duties that gave nothing in time.
	Missing []string `json:"missing"`
}
