package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
)

// Ten requests pay for one retry; the second failure in the domain is not retried.
func Example() {
	policy := retry.NewPolicy(retry.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	for range 10 {
		policy.RecordRequest("brandon-hall")
	}
	failure := retry.Failure{
		FailureDomain: "brandon-hall",
		Attempts:      1,
		SafeToRepeat:  true,
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
	// retry budget of failure domain brandon-hall is exhausted
}
