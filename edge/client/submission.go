package client

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// submission is the state of one Submit across all its tries.
type submission struct {
	client   *Client
	request  Request
	body     []byte
	onPiece  func(Piece)
	deadline time.Time

	tries            int
	gateway          string // the gateway that handles the request; empty if unknown
	mayHaveRun       bool   // the request was sent and not refused as not run
	mayHaveRunBefore bool   // mayHaveRun before the current try
	text             strings.Builder
	pieces           int
	tokens           int
}

// run sends or resumes the request until the answer is complete or no further try
// is allowed.
func (s *submission) run() (Answer, error) {
	for {
		s.tries++
		answer, isOver, err := s.try()
		if isOver || s.tries >= s.client.config.MaxTries || !time.Now().Before(s.deadline) {
			return answer, err
		}
		s.client.waitBeforeRetry(err)
	}
}

// try makes one call. isOver means that another try would be useless or unsafe.
func (s *submission) try() (answer Answer, isOver bool, err error) {
	address, err := s.address()
	if err != nil {
		return Answer{}, false, s.unreachableError(err)
	}
	out := newSink()
	call := s.call(address, out)
	if err := s.client.http.Start(call); err != nil {
		return Answer{}, false, s.unreachableError(err)
	}
	return s.read(address, out)
}

// address returns the gateway that handles the request if it is known and not
// avoided, and any other gateway otherwise.
func (s *submission) address() (string, error) {
	if s.gateway != "" && !s.client.addresses.avoided[s.gateway] {
		return s.gateway, nil
	}
	return s.client.addresses.pick()
}

// call returns the call that submits the request or, if it may have run, resumes it
// by its key. An idempotent request is submitted again if no gateway is known to
// handle it.
func (s *submission) call(address string, out *sink) *httpc.Call {
	s.mayHaveRunBefore = s.mayHaveRun
	call := &httpc.Call{
		Address: address,
		Method:  http.MethodPost,
		Path:    caller.RequestsPath,
		Header:  s.client.authorized(http.Header{"Accept": {"text/event-stream"}, "Content-Type": {"application/json"}}),
		Timeout: time.Until(s.deadline),
		Sink:    out,
	}
	if s.mayHaveRun && (s.gateway != "" || !s.request.Idempotent) {
		call.Method = http.MethodGet
		call.Path = requestPath(s.request.Key) + "?from=" + strconv.Itoa(s.pieces)
		return call
	}
	call.Body = s.body
	s.mayHaveRun = true
	return call
}

func (s *submission) read(address string, out *sink) (Answer, bool, error) {
	for {
		e, err := out.parts.Take()
		if err != nil {
			return Answer{}, false, s.unreachableError(err)
		}
		for _, b := range e.events {
			answer, isOver, err := s.handleEvent(b)
			if isOver || err != nil {
				return answer, isOver, err
			}
		}
		if e.isLast {
			return s.handleEndOfResponse(address, e)
		}
	}
}

// handleEvent processes one event of the stream.
func (s *submission) handleEvent(b streamEvent) (Answer, bool, error) {
	switch b.name {
	case caller.EventAccepted:
		var accepted caller.AcceptedEvent
		if json.Unmarshal(b.data, &accepted) == nil {
			s.gateway = accepted.Gateway
		}
	case caller.EventPiece:
		return s.piece(b.data)
	case caller.EventEnd:
		return s.end(b.data)
	case caller.EventMoved:
		return s.moved(b.data)
	case caller.EventFailed:
		var p caller.Problem
		if err := json.Unmarshal(b.data, &p); err != nil {
			return Answer{}, true, &CorruptError{Detail: err.Error()}
		}
		return Answer{}, true, newRefusedError(p)
	}
	return Answer{}, false, nil
}

func (s *submission) piece(data []byte) (Answer, bool, error) {
	var p caller.PieceEvent
	if err := json.Unmarshal(data, &p); err != nil {
		return Answer{}, true, &CorruptError{Detail: err.Error()}
	}
	switch {
	case p.Index < s.pieces:
		return Answer{}, false, nil
	case p.Index > s.pieces:
		return Answer{}, true, &CorruptError{Detail: fmt.Sprintf("received piece %d, expected piece %d", p.Index, s.pieces)}
	}
	s.pieces++
	s.tokens += p.Tokens
	s.text.WriteString(p.Text)
	if s.onPiece != nil {
		s.onPiece(Piece{Index: p.Index, Tokens: p.Tokens, Text: p.Text})
	}
	return Answer{}, false, nil
}

func (s *submission) end(data []byte) (Answer, bool, error) {
	var e caller.EndEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return Answer{}, true, &CorruptError{Detail: err.Error()}
	}
	sum := sha256.Sum256([]byte(s.text.String()))
	digest := "sha256:" + hex.EncodeToString(sum[:])
	switch {
	case e.Key != s.request.Key:
		return Answer{}, true, &CorruptError{Detail: "the key is that of another request"}
	case e.Pieces != s.pieces || e.Tokens != s.tokens:
		detail := fmt.Sprintf("received %d pieces and %d tokens, expected %d and %d", s.pieces, s.tokens, e.Pieces, e.Tokens)
		return Answer{}, true, &CorruptError{Detail: detail}
	case e.Digest != digest:
		return Answer{}, true, &CorruptError{Detail: "the digest does not match"}
	}
	return Answer{
		Text: s.text.String(), Pieces: s.pieces, Tokens: s.tokens, Attempts: e.Attempts,
		RecomputedTokens: e.RecomputedTokens, Tries: s.tries,
	}, true, nil
}

// moved makes the next try resume at the gateway that took the request over.
func (s *submission) moved(data []byte) (Answer, bool, error) {
	var m caller.MovedEvent
	if err := json.Unmarshal(data, &m); err != nil {
		return Answer{}, true, &CorruptError{Detail: err.Error()}
	}
	s.client.addresses.avoid(s.gateway)
	s.gateway = ""
	if len(m.Addresses) > 0 {
		s.gateway = m.Addresses[0].Address
	}
	return Answer{}, false, &RefusedError{Outcome: string(request.OutcomeUnknown), Reason: "moved", Detail: "another gateway took over the request"}
}

// handleEndOfResponse processes the last part of a response that had neither an
// "end" nor a "failed" event.
func (s *submission) handleEndOfResponse(address string, e responsePart) (Answer, bool, error) {
	if e.err != nil {
		return s.handleConnectionError(address, e.err)
	}
	err := decodeRefusal(e)
	if err == nil {
		return Answer{}, false, &RefusedError{Outcome: string(request.OutcomeUnknown), Reason: "connection", Detail: "the stream ended early"}
	}
	refused := asRefusedError(err)
	switch {
	case refused.Reason == string(request.NotFound) && s.request.Idempotent && refused.Status == http.StatusNotFound:
		// This gateway does not have the request, so the next try submits it again.
		s.gateway = ""
		return Answer{}, false, err
	case refused.Reason == string(request.NotFound) && s.pieces == 0 && s.mayHaveRun:
		return Answer{}, false, s.outcomeUnknownError(refused)
	case refused.Outcome == string(request.NotRun):
		s.mayHaveRun = s.mayHaveRunBefore
		return Answer{}, !s.client.mayTryElsewhere(address, e, err), err
	default:
		return Answer{}, true, err
	}
}

// handleConnectionError processes a broken connection. The request may still be
// running at its gateway, or at another one that took it over, so the next try
// resumes it.
func (s *submission) handleConnectionError(address string, err error) (Answer, bool, error) {
	s.client.addresses.avoid(address)
	if isNotSent(err) {
		s.mayHaveRun = s.mayHaveRunBefore
		if s.gateway == address {
			s.gateway = ""
		}
	}
	return Answer{}, false, connectionError(err)
}

func (s *submission) unreachableError(err error) error {
	outcome := request.NotRun
	if s.mayHaveRun {
		outcome = request.OutcomeUnknown
	}
	return &RefusedError{Outcome: string(outcome), Reason: "unreachable", Detail: err.Error()}
}

func (s *submission) outcomeUnknownError(refused *RefusedError) error {
	return &RefusedError{Status: refused.Status, Outcome: string(request.OutcomeUnknown), Reason: refused.Reason, Detail: refused.Detail}
}
