package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
)

// Ten requests earn one retry; a second failure in the domain is final.
func Example() {
	policy := retry.NewPolicy(retry.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	for range 10 {
		policy.Request("brandon-hall")
	}
	failure := retry.Failure{
		FailureDomain: "brandon-hall",
		Attempts:      1,
		Safe:          true,
		Deadline:      clock.Instant(time.Minute),
	}
	for range 2 {
		switch v := policy.Decide(failure, 0).(type) {
		case retry.Retry:
			fmt.Println("try again")
		case retry.GiveUp:
			fmt.Println(v.Err)
		}
	}
	// Output:
	// try again
	// retry budget of failure domain brandon-hall is spent
}
