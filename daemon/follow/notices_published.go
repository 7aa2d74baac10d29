package follow

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// noticesPublished are reclaim notices that this process received from the
// cloud.
type noticesPublished struct {
	notices []spread.Notice
}

func (noticesPublished) isEvent() {}
