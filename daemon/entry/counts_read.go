package entry

import "github.com/sycamorecourse/sycamorecourse/platform/rows"

// countsRead is the result of reading back the stored counts of a usage window.
type countsRead struct {
	window int64
	page   rows.Page
	err    error
}

func (countsRead) isClusterMessage() {}
