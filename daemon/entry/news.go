package entry

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// news is what an attempt's upstream has answered since the last news.
type news struct {
	ref relay.AttemptRef
	// header is set with the head of the answer.
	header http.Header
	head   relay.ResponseHead
	events relay.BodyChunk
	// done is set at the end of the whole answer.
	done bool
	// failure is set at an end without a whole answer.
	failure *relay.Failure
}

func (*news) isDispatchMessage() {}
