package engine

import (
	"encoding/json"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// LoadPath is the path at which an engine reports its load.
const LoadPath = "/v1/load"

// DecodeLoad decodes a load report. The age is the difference between the wall
// clocks of this process and the engine; it is 0 if the engine's clock is ahead. It
// fails with a *DecodeError or an *UndatedLoadError.
func DecodeLoad(body []byte, now time.Time) (route.Load, error) {
	var report loadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return route.Load{}, &DecodeError{Err: err}
	}
	if report.MeasuredAtMS <= 0 {
		return route.Load{}, &UndatedLoadError{}
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
