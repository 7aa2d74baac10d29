package quota_test

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// A controller requests an allocation of the budget and spends from it until it
// expires.
func Example() {
	budget := quota.Limit{Name: "money-per-hour", Total: 5000, ConfigurationVersion: 12}
	allocation := quota.New(budget, lease.DefaultConfig(), lease.Holder{Instance: "controller-1", Incarnation: 7})
	allocation.SetDemand(quota.Demand{Want: 1200, Weight: 1}, 0)

	var now clock.Manual
	now.Advance(time.Second)
	fmt.Printf("%T\n", allocation.Next(now.Now()))
	fmt.Printf("%T\n", allocation.ReadResult(row.Row{}, nil, now.Now()))
	fmt.Printf("%T\n", allocation.Written(nil, now.Now()))

	fmt.Println(allocation.MaySpend(700, 0, now.Now()))
	fmt.Println(allocation.MaySpend(700, 700, now.Now()))
	now.Advance(time.Minute) // the process was paused
	fmt.Println(allocation.MaySpend(1, 700, now.Now()))
	// Output:
	// lease.Read
	// lease.Write
	// lease.Wait
	// <nil>
	// limit money-per-hour: 700 asked for beside 700 spent, 1200 held
	// limit money-per-hour: 1 asked for beside 700 spent, 0 held
}
