package entry

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// attemptUpdate is the part of an attempt's response that has arrived since the
// previous update.
type attemptUpdate struct {
	ref relay.AttemptRef
	// sent is how the attempt was sent, in the update with the head.
	sent httpc.Sent
	// header is set in the update that holds the head of the response.
	header http.Header
	head   relay.ResponseHead
	body   relay.BodyChunk
	// done is set at the end of a complete response.
	done bool
	// failure is set if the attempt ended without a complete response.
	failure *relay.Failure
}

func (*attemptUpdate) isDispatchMessage() {}
