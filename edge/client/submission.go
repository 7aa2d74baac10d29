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

// submission is one request on its way to a whole answer.
type submission struct {
	client  *Client
	request Request
	body    []byte
	take    func(Piece)
	limit   time.Time

	tries     int
	gateway   string // that has the request; empty while none is known to
	mayRun    bool   // the request was sent, and not refused as not run
	ranBefore bool   // mayRun as it was before the present try
	text      strings.Builder
	pieces    int
	tokens    int
}

// run sends or resumes until the answer is whole or nothing more may be tried.
func (s *submission) run() (Answer, error) {
	for {
		s.tries++
		answer, isOver, err := s.try()
		if isOver || s.tries >= s.client.config.MaxTries || !time.Now().Before(s.limit) {
			return answer, err
		}
		s.client.pause(err)
	}
}

// try makes one call. isOver says that no other would help or be right.
func (s *submission) try() (answer Answer, isOver bool, err error) {
	address, err := s.address()
	if err != nil {
		return Answer{}, false, s.unreachable(err)
	}
	out := newSink()
	call := s.call(address, out)
	if err := s.client.http.Start(call); err != nil {
		return Answer{}, false, s.unreachable(err)
	}
	return s.read(address, out)
}

// address is the gateway that has the request, if that is known, else any.
func (s *submission) address() (string, error) {
	if s.gateway != "" && !s.client.addresses.bad[s.gateway] {
		return s.gateway, nil
	}
	return s.client.addresses.pick()
}

// call submits the request, or resumes it once it may have run. An idempotent
// request that no gateway is known to have is submitted again.
func (s *submission) call(address string, out *sink) *httpc.Call {
	s.ranBefore = s.mayRun
	call := &httpc.Call{
		Address: address,
		Method:  http.MethodPost,
		Path:    caller.RequestsPath,
		Header:  s.client.authorized(http.Header{"Accept": {"text/event-stream"}, "Content-Type": {"application/json"}}),
		Timeout: time.Until(s.limit),
		Sink:    out,
	}
	if s.mayRun && (s.gateway != "" || !s.request.Idempotent) {
		call.Method = http.MethodGet
		call.Path = requestPath(s.request.Key) + "?from=" + strconv.Itoa(s.pieces)
		return call
	}
	call.Body = s.body
	s.mayRun = true
	return call
}

func (s *submission) read(address string, out *sink) (Answer, bool, error) {
	for {
		e, err := out.events.Take()
		if err != nil {
			return Answer{}, false, s.unreachable(err)
		}
		for _, b := range e.blocks {
			answer, isOver, err := s.block(b)
			if isOver || err != nil {
				return answer, isOver, err
			}
		}
		if e.isLast {
			return s.last(address, e)
		}
	}
}

// block takes one event of the stream.
func (s *submission) block(b block) (Answer, bool, error) {
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
		return Answer{}, true, refusedFrom(p)
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
		return Answer{}, true, &CorruptError{Detail: fmt.Sprintf("piece %d came where %d is next", p.Index, s.pieces)}
	}
	s.pieces++
	s.tokens += p.Tokens
	s.text.WriteString(p.Text)
	if s.take != nil {
		s.take(Piece{Index: p.Index, Tokens: p.Tokens, Text: p.Text})
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
		return Answer{}, true, &CorruptError{Detail: "it is of another request"}
	case e.Pieces != s.pieces || e.Tokens != s.tokens:
		detail := fmt.Sprintf("%d pieces and %d tokens of %d and %d", s.pieces, s.tokens, e.Pieces, e.Tokens)
		return Answer{}, true, &CorruptError{Detail: detail}
	case e.Digest != digest:
		return Answer{}, true, &CorruptError{Detail: "the digest differs"}
	}
	return Answer{
		Text: s.text.String(), Pieces: s.pieces, Tokens: s.tokens, Attempts: e.Attempts,
		RecomputedTokens: e.RecomputedTokens, Tries: s.tries,
	}, true, nil
}

// moved goes on at the gateway that took the request over.
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
	return Answer{}, false, &RefusedError{Outcome: string(request.OutcomeUnknown), Reason: "moved", Detail: "another gateway goes on"}
}

// last acts on the end of a call whose stream did not end.
func (s *submission) last(address string, e event) (Answer, bool, error) {
	if e.err != nil {
		return s.lost(address, e.err)
	}
	err := refusedBy(e)
	if err == nil {
		return Answer{}, false, &RefusedError{Outcome: string(request.OutcomeUnknown), Reason: "connection", Detail: "the stream ended early"}
	}
	refused := refusedFromError(err)
	switch {
	case refused.Reason == string(request.NotFound) && s.request.Idempotent && refused.Status == http.StatusNotFound:
		// This gateway does not have the request, so that it is sent again.
		s.gateway = ""
		return Answer{}, false, err
	case refused.Reason == string(request.NotFound) && s.pieces == 0 && s.mayRun:
		return Answer{}, false, s.unknown(refused)
	case refused.Outcome == string(request.NotRun):
		s.mayRun = s.ranBefore
		return Answer{}, !s.client.mayTryElsewhere(address, e, err), err
	default:
		return Answer{}, true, err
	}
}

// lost acts on a connection that broke. The request goes on at its gateway, or
// at another that took it over.
func (s *submission) lost(address string, err error) (Answer, bool, error) {
	s.client.addresses.avoid(address)
	if isNotSent(err) {
		s.mayRun = s.ranBefore
		if s.gateway == address {
			s.gateway = ""
		}
	}
	return Answer{}, false, broken(err)
}

func (s *submission) unreachable(err error) error {
	outcome := request.NotRun
	if s.mayRun {
		outcome = request.OutcomeUnknown
	}
	return &RefusedError{Outcome: string(outcome), Reason: "unreachable", Detail: err.Error()}
}

func (s *submission) unknown(refused *RefusedError) error {
	return &RefusedError{Status: refused.Status, Outcome: string(request.OutcomeUnknown), Reason: refused.Reason, Detail: refused.Detail}
}
