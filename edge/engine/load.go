package engine

import (
	"encoding/json"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// LoadPath is where an engine reports its load.
const LoadPath = "/v1/load"

// DecodeLoad reads a report of load. The age is by the wall clocks of both
// sides and is never negative.
func DecodeLoad(body []byte, now time.Time) (route.Load, error) {
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return route.Load{}, &DecodeError{Err: err}
	}
	return route.Load{
		Running:         report.Running,
		Queued:          report.Queued,
		KVUsed:          report.KVUsedTokens,
		KVTotal:         report.KVTotalTokens,
		TokensPerSecond: report.TokensPerSecond,
		Age:             max(now.Sub(time.UnixMilli(report.MeasuredAtMS)), 0),
	}, nil
}
