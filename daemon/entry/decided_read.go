package entry

import "github.com/sycamorecourse/sycamorecourse/platform/rows"

// decidedRead is the result of reading the counts that were fixed before.
type decidedRead struct {
	window int64
	page   rows.Page
	err    error
}

func (decidedRead) isClusterMessage() {}
