package entry

import "github.com/sycamorecourse/sycamorecourse/platform/rows"

// timelineRead is the result of reading back when a timeline of the store began.
type timelineRead struct {
	timeline uint64
	page     rows.Page
	err      error
}

func (timelineRead) isClusterMessage() {}
