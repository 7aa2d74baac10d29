package measure

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Direct times one answer of an engine, without a gateway.
func Direct(http *httpc.Client, address, model, prompt, key string, tokens int) (Sample, error) {
	d := newDirect()
	call, err := engine.NewCall(&dispatch.Send{
		Ref:     dispatch.StreamRef{ID: request.ID{Customer: "measure", Key: key}, Attempt: 1, AttemptID: "measure/" + key},
		Address: address,
		Request: &request.Request{Model: model, Prompt: prompt, MaxTokens: tokens},
	}, time.Minute, d)
	if err != nil {
		return Sample{}, err
	}
	if err := http.Start(call); err != nil {
		return Sample{}, err
	}
	return d.ended.Take()
}
