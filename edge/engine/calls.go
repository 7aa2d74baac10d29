package engine

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// completionsPath is the path at which an engine accepts requests.
const completionsPath = "/v1/completions"

// requestKeyHeader is the header that passes the key of a call to a plain service.
const requestKeyHeader = "X-Request-Key"

// NewCall returns the call that starts an attempt at a model engine or a plain
// service. The timeout bounds the whole answer.
func NewCall(s *dispatch.Send, timeout time.Duration, receiver Receiver) (*httpc.Call, error) {
	if s.Request.Call != nil {
		return newServiceCall(s, timeout, receiver), nil
	}
	body, err := json.Marshal(completionRequest{
		Model:      s.Request.Model,
		Adapter:    s.Request.Adapter,
		Prompt:     s.Request.Prompt,
		MaxTokens:  s.Request.MaxTokens,
		Stream:     true,
		Priority:   s.Request.Priority,
		RequestID:  s.Ref.AttemptID,
		ResumeFrom: s.ResumeTokens,
		ResumeText: s.ResumeText,
		KVHandle:   s.KVHandle,
	})
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return &httpc.Call{
		Address:   s.Address,
		Method:    http.MethodPost,
		Path:      completionsPath,
		Header:    http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		Body:      body,
		Timeout:   timeout,
		NotAfter:  s.NotAfter,
		Exclusive: true,
		Sink:      &streamSink{receiver: receiver},
	}, nil
}

// NewReattachCall returns the call that reads the stream of a running attempt
// again, from a given token on.
func NewReattachCall(r *dispatch.Reattach, timeout time.Duration, receiver Receiver) *httpc.Call {
	return &httpc.Call{
		Address:   r.Address,
		Method:    http.MethodGet,
		Path:      streamPath(r.Ref) + "?from=" + strconv.Itoa(r.FromToken),
		Header:    http.Header{"Accept": {"text/event-stream"}},
		Timeout:   timeout,
		Exclusive: true,
		Sink:      &streamSink{receiver: receiver},
	}
}

// NewCancelCall returns the call that cancels an attempt. Its response is
// ignored, so it needs no connection of its own.
func NewCancelCall(a *dispatch.Abort, timeout time.Duration) *httpc.Call {
	return &httpc.Call{
		Address: a.Address,
		Method:  http.MethodDelete,
		Path:    streamPath(a.Ref),
		Timeout: timeout,
		Sink:    discardSink{},
	}
}

func newServiceCall(s *dispatch.Send, timeout time.Duration, receiver Receiver) *httpc.Call {
	header := http.Header{}
	for _, f := range s.Request.Call.Header {
		header.Set(f.Name, f.Value)
	}
	header.Set(requestKeyHeader, s.Request.ID.Key)
	return &httpc.Call{
		Address:   s.Address,
		Method:    s.Request.Call.Method,
		Path:      s.Request.Call.Path,
		Header:    header,
		Body:      s.Request.Call.Body,
		Timeout:   timeout,
		NotAfter:  s.NotAfter,
		Exclusive: true,
		Sink:      &serviceSink{receiver: receiver, idempotent: s.Request.Idempotent},
	}
}

func streamPath(ref dispatch.StreamRef) string {
	return completionsPath + "/" + url.PathEscape(ref.AttemptID)
}
