package path_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// outcomeRecorder records how one call to an upstream ended. It implements
// engine.Receiver and engine.KVReceiver.
type outcomeRecorder struct {
	outcomes *ring.Ring[string]
	text     string
}

func newOutcomeRecorder() *outcomeRecorder {
	return &outcomeRecorder{outcomes: ring.New[string]("outcomes", 2)}
}

// take waits for the outcome of the call.
func (r *outcomeRecorder) take() string {
	GinkgoHelper()
	outcome, err := r.outcomes.Take()
	Expect(err).NotTo(HaveOccurred())
	return outcome
}

func (r *outcomeRecorder) Tokens(t engine.Tokens) bool {
	r.text += t.Text
	return true
}

func (r *outcomeRecorder) Completed(rest engine.Tokens, _ dispatch.Usage) {
	_ = r.outcomes.Offer("completed: " + r.text + rest.Text)
}

func (r *outcomeRecorder) Replied(reply *request.ServiceReply) {
	_ = r.outcomes.Offer("replied: " + string(reply.Body))
}

func (r *outcomeRecorder) Exported(cache []byte) { _ = r.outcomes.Offer("exported: " + string(cache)) }

func (r *outcomeRecorder) Imported(handle string) { _ = r.outcomes.Offer("imported: " + handle) }

func (r *outcomeRecorder) KVFailed(failure dispatch.Failure) {
	_ = r.outcomes.Offer("failed: " + failure.Detail)
}

func (r *outcomeRecorder) Failed(_ engine.Tokens, failure dispatch.Failure) {
	_ = r.outcomes.Offer("failed: " + failure.Detail)
}
