package entry

import "github.com/sycamorecourse/sycamorecourse/platform/rows"

// cardsRead is the result of reading the gateways' rows.
type cardsRead struct {
	page rows.Page
	err  error
}

func (cardsRead) isClusterMessage() {}
