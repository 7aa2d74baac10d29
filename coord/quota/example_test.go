package quota_test

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// A controller asks for a part of the budget and spends from it while it holds
// it.
func Example() {
	budget := quota.Limit{Name: "money-per-hour", Total: 5000, Configuration: 12}
	slice := quota.New(budget, lease.DefaultConfig(), lease.Holder{Instance: "controller-1", Incarnation: 7})
	slice.Ask(quota.Demand{Want: 1200, Weight: 1}, 0)

	var now clock.Manual
	now.Advance(time.Second)
	fmt.Printf("%T\n", slice.Next(now.Now()))
	fmt.Printf("%T\n", slice.ReadResult(row.Row{}, nil, now.Now()))
	fmt.Printf("%T\n", slice.Written(nil, now.Now()))

	fmt.Println(slice.Spend(700, 0, now.Now()))
	fmt.Println(slice.Spend(700, 700, now.Now()))
	now.Advance(time.Minute) // the process was stopped
	fmt.Println(slice.Spend(1, 700, now.Now()))
	// Output:
	// lease.Read
	// lease.Write
	// lease.Wait
	// <nil>
	// limit money-per-hour: 700 asked for beside 700 spent, 1200 held
	// limit money-per-hour: 1 asked for beside 700 spent, 0 held
}
