package entry

import "github.com/sycamorecourse/sycamorecourse/platform/rows"

// recordsRead is the result of reading the records of all gateways.
type recordsRead struct {
	page rows.Page
	err  error
}

func (recordsRead) isClusterMessage() {}
