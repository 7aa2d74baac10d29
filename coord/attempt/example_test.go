package attempt_test

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// A booking is claimed in the table service before it is sent; its answer is
// recorded afterwards.
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
		_ = claim.MarkSent()
		fmt.Println("send the request")
	}
	_, _ = claim.Complete(attempt.Answer{Inline: []byte("booked")})
	fmt.Printf("%T\n", claim.Written(nil, now.Now()))
	// Output:
	// insert attempt/quilters/depot/pickup-12
	// attempt.Send
	// send the request
	// attempt.Done
}
