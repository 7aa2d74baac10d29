package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// maxRefusalBytes bounds what is kept of an answer that is not a stream.
const maxRefusalBytes = 4 << 10

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// stream decodes a streamed completion. It implements httpc.Sink.
type stream struct {
	receiver Receiver
	status   int
	line     []byte // an event line that is not whole yet
	refusal  []byte
	pending  Tokens
	usage    dispatch.Usage
	isWhole  bool
	bad      error
}

// Head implements httpc.Sink.
func (s *stream) Head(status int, _ http.Header) {
	s.status = status
}

// Body implements httpc.Sink.
func (s *stream) Body(p []byte) {
	if s.status != http.StatusOK {
		room := max(maxRefusalBytes-len(s.refusal), 0)
		s.refusal = append(s.refusal, p[:min(room, len(p))]...)
		return
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
}

// Done implements httpc.Sink.
func (s *stream) Done() {
	switch {
	case s.status != http.StatusOK:
		s.receiver.Failed(Tokens{}, s.refused())
	case s.bad != nil:
		s.receiver.Failed(s.pending, dispatch.Failure{Kind: dispatch.Broken, Detail: s.bad.Error()})
	case !s.isWhole:
		s.receiver.Failed(s.pending, dispatch.Failure{Kind: dispatch.Broken, Detail: "the stream ended early"})
	default:
		s.receiver.Completed(s.pending, s.usage)
	}
}

// Failed implements httpc.Sink.
func (s *stream) Failed(err error) {
	s.receiver.Failed(s.pending, failureOf(err))
}

func (s *stream) readLine(line []byte) {
	data, found := bytes.CutPrefix(line, dataPrefix)
	if !found || s.bad != nil {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMark) {
		return
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		s.bad = &DecodeError{Err: err}
		return
	}
	s.take(&c)
}

func (s *stream) take(c *chunk) {
	for _, choice := range c.Choices {
		if choice.Text != "" && !s.pending.add(choice.TokenIndex, choice.Text) {
			s.bad = &GapError{Want: s.pending.First + s.pending.Count, Got: choice.TokenIndex}
			return
		}
		if choice.FinishReason != nil {
			s.isWhole = true
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

func (s *stream) flush() {
	if s.pending.Count > 0 && s.receiver.Tokens(s.pending) {
		s.pending = Tokens{}
	}
}

// refused classifies an answer that is not a stream.
func (s *stream) refused() dispatch.Failure {
	var r refusal
	// What does not decode has an empty type.
	_ = json.Unmarshal(s.refusal, &r)
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
