package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/edge/sse"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// maxRefusalBytes is the number of bytes that are kept of the body of a response
// whose status is not 200.
const maxRefusalBytes = 4 << 10

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// streamSink decodes a streamed completion and delivers its tokens. It implements
// httpc.Sink.
type streamSink struct {
	receiver  Receiver
	status    int
	line      []byte // the incomplete last line of the stream
	errorBody []byte
	pending   Tokens // not accepted by the receiver yet
	usage     dispatch.Usage
	finished  bool  // a finish reason has arrived
	err       error // the first chunk that did not decode or left a gap
}

// Head implements httpc.Sink.
func (s *streamSink) Head(status int, _ http.Header) {
	s.status = status
}

// Body implements httpc.Sink.
func (s *streamSink) Body(p []byte) error {
	if s.status != http.StatusOK {
		room := max(maxRefusalBytes-len(s.errorBody), 0)
		s.errorBody = append(s.errorBody, p[:min(room, len(p))]...)
		return nil
	}
	for len(p) > 0 {
		line, rest, found := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, line...)
		if !found {
			break
		}
		s.readLine(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		p = rest
	}
	s.flush()
	if len(s.line) > sse.MaxEventBytes {
		return &sse.EventSizeError{}
	}
	return nil
}

// Done implements httpc.Sink.
func (s *streamSink) Done() {
	switch {
	case s.status != http.StatusOK:
		s.receiver.Failed(Tokens{}, s.refusalFailure())
	case s.err != nil:
		s.receiver.Failed(s.pending, dispatch.Failure{Kind: dispatch.Broken, Detail: s.err.Error()})
	case !s.finished:
		s.receiver.Failed(s.pending, dispatch.Failure{Kind: dispatch.Broken, Detail: "the stream ended early"})
	default:
		s.receiver.Completed(s.pending, s.usage)
	}
}

// Failed implements httpc.Sink.
func (s *streamSink) Failed(err error) {
	s.receiver.Failed(s.pending, failureFromError(err))
}

func (s *streamSink) readLine(line []byte) {
	data, found := bytes.CutPrefix(line, dataPrefix)
	if !found || s.err != nil {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		return
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		s.err = &DecodeError{Err: err}
		return
	}
	s.addChunk(&c)
}

func (s *streamSink) addChunk(c *chunk) {
	for _, choice := range c.Choices {
		if choice.Text != "" && !s.pending.add(choice.TokenIndex, choice.Text) {
			s.err = &GapError{Want: s.pending.First + s.pending.Count, Got: choice.TokenIndex}
			return
		}
		if choice.FinishReason != nil {
			s.finished = true
		}
	}
	if c.Usage != nil {
		s.usage = dispatch.Usage{
			PromptTokens:     c.Usage.PromptTokens,
			CachedTokens:     c.Usage.CachedTokens,
			RecomputedTokens: c.Usage.RecomputedTokens,
		}
	}
}

func (s *streamSink) flush() {
	if s.pending.Count > 0 && s.receiver.Tokens(s.pending) {
		s.pending = Tokens{}
	}
}

// refusalFailure classifies a response whose status is not 200.
func (s *streamSink) refusalFailure() dispatch.Failure {
	var r errorResponse
	// A body that does not decode leaves the type empty.
	_ = json.Unmarshal(s.errorBody, &r)
	detail := "status " + strconv.Itoa(s.status) + " " + r.Error.Type
	switch {
	case r.Error.Type == "not_run":
		return dispatch.Failure{Kind: dispatch.RefusedByUpstream, Detail: detail}
	case s.status == http.StatusBadRequest:
		return dispatch.Failure{Kind: dispatch.RefusedByUpstream, Detail: detail}
	case s.status == http.StatusNotFound:
		return dispatch.Failure{Kind: dispatch.AttemptNotFound, Detail: detail}
	default:
		return dispatch.Failure{Kind: dispatch.Broken, Detail: detail}
	}
}
