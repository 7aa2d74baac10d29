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

// completionsPath is where an engine takes requests.
const completionsPath = "/v1/completions"

// keyField tells a plain service the key of a call.
const keyField = "X-Request-Key"

// NewCall encodes an attempt. The timeout bounds the whole answer.
func NewCall(s *dispatch.Send, timeout time.Duration, receiver Receiver) (*httpc.Call, error) {
	if s.Request.Call != nil {
		return newServiceCall(s, timeout, receiver), nil
	}
	body, err := json.Marshal(completion{
		Model:      s.Request.Model,
		Adapter:    s.Request.Adapter,
		Prompt:     s.Request.Prompt,
		MaxTokens:  s.Request.MaxTokens,
		Stream:     true,
		Priority:   s.Request.Priority,
		RequestID:  requestID(s.Ref),
		ResumeFrom: s.ResumeTokens,
		ResumeText: s.ResumeText,
		KVHandle:   s.KVHandle,
	})
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return &httpc.Call{
		Address:  s.Address,
		Method:   http.MethodPost,
		Path:     completionsPath,
		Header:   http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		Body:     body,
		Timeout:  timeout,
		NotAfter: s.NotAfter,
		Sink:     &stream{receiver: receiver},
	}, nil
}

// NewReattachCall encodes the taking up of a stream that goes on.
func NewReattachCall(r *dispatch.Reattach, timeout time.Duration, receiver Receiver) *httpc.Call {
	return &httpc.Call{
		Address: r.Address,
		Method:  http.MethodGet,
		Path:    streamPath(r.Ref) + "?from=" + strconv.Itoa(r.FromToken),
		Header:  http.Header{"Accept": {"text/event-stream"}},
		Timeout: timeout,
		Sink:    &stream{receiver: receiver},
	}
}

// NewCancelCall encodes the cancellation of an attempt.
func NewCancelCall(a *dispatch.Abort, timeout time.Duration) *httpc.Call {
	return &httpc.Call{
		Address: a.Address,
		Method:  http.MethodDelete,
		Path:    streamPath(a.Ref),
		Timeout: timeout,
		Sink:    discard{},
	}
}

func newServiceCall(s *dispatch.Send, timeout time.Duration, receiver Receiver) *httpc.Call {
	header := http.Header{}
	for _, f := range s.Request.Call.Header {
		header.Set(f.Name, f.Value)
	}
	header.Set(keyField, s.Request.ID.Key)
	return &httpc.Call{
		Address:  s.Address,
		Method:   s.Request.Call.Method,
		Path:     s.Request.Call.Path,
		Header:   header,
		Body:     s.Request.Call.Body,
		Timeout:  timeout,
		NotAfter: s.NotAfter,
		Sink:     &reply{receiver: receiver, idempotent: s.Request.Idempotent},
	}
}

// requestID names an attempt at an engine. Each attempt has its own, so that a
// late piece of an earlier one can't be taken for a piece of this one.
func requestID(ref dispatch.StreamRef) string {
	return ref.ID.Customer + "/" + ref.ID.Key + "#" + strconv.Itoa(ref.Attempt)
}

func streamPath(ref dispatch.StreamRef) string {
	return completionsPath + "/" + url.PathEscape(requestID(ref))
}
