package attempt_test

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// A booking is recorded before it is sent, and its answer after.
func Example() {
	holder := attempt.Holder{Instance: "gateway-1", Incarnation: 41}
	claim := attempt.NewClaim(attempt.DefaultWindow(), holder, 1, attempt.Request{
		ID:          attempt.ID{Customer: "quilters/depot", Key: "pickup-12"},
		Fingerprint: attempt.FingerprintOf([]byte("book"), []byte("box 12")),
	})

	var now clock.Manual
	write := claim.Begin(now.Now()).(attempt.Write)
	fmt.Println("insert", write.Transaction.Changes[0].Key)

	step := claim.Written(nil, now.Now())
	fmt.Printf("%T\n", step)

	if err := claim.MaySend(now.Now()); err == nil {
		_ = claim.Sent()
		fmt.Println("the request leaves here")
	}
	_, _ = claim.Complete(attempt.Answer{Inline: []byte("booked")})
	fmt.Printf("%T\n", claim.Written(nil, now.Now()))
	// Output:
	// insert attempt/quilters/depot/pickup-12
	// attempt.Send
	// the request leaves here
	// attempt.Done
}
