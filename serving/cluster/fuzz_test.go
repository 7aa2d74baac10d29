package cluster_test

import (
	"testing"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

func FuzzDecode(f *testing.F) {
	value, _ := cluster.Record{Instance: "a", Used: map[string]limit.Use{"x": {2}}}.Encode()
	f.Add(value)
	f.Fuzz(func(_ *testing.T, value []byte) {
		r, err := cluster.Decode("a", value)
		if err != nil {
			return
		}
		v := cluster.NewView(1, 1)
		v.Update([]cluster.Record{r}, clock.Instant(1))
		v.Update([]cluster.Record{r}, clock.Instant(2))
		_ = v.Divide("b", clock.Instant(2))
		_, _ = v.ClockOffset()
	})
}
