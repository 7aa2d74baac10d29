package judge

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/standin/duties"
)

// Duties checks that a window has been reported that is not older than the one given,
// which is that in which the last fault ended.
func Duties(reports []duties.UsageReport, window int64) []Violation {
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.Window)
	}
	if newest < window {
		return []Violation{{Rule: DutiesGoOn, Detail: fmt.Sprintf("the newest window reported is %d, not %d", newest, window)}}
	}
	return nil
}
