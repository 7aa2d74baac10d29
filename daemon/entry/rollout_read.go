package entry

import "github.com/sycamorecourse/sycamorecourse/platform/rows"

// rolloutRead is the result of reading the stored stage of a roll-out.
type rolloutRead struct {
	service string
	page    rows.Page
	err     error
}

func (rolloutRead) isClusterMessage() {}
