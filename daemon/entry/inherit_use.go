package entry

import "github.com/sycamorecourse/sycamorecourse/serving/limit"

// inheritUse hands over what a former process of this gateway has published of the
// customers' limits.
type inheritUse struct {
	former limit.Former
}

func (inheritUse) isDispatchMessage() {}
