package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// The paths of the API.
const (
	// AddressesPath lists the addresses of the gateways.
	AddressesPath = "/v1/addresses"
	// RequestsPath accepts requests; RequestsPath/{key} is one request.
	RequestsPath = "/v1/requests"
	// ServicesPath is the prefix of the paths of plain services.
	ServicesPath = "/v1/services/"
)

// KeyHeader is the header with the key of a call of a plain service.
const KeyHeader = "Idempotency-Key"

// DeadlineHeader is the header with the deadline of a call of a plain service, in
// milliseconds.
const DeadlineHeader = "Sycamore-Deadline-Ms"

// Decode decodes and validates a request of a caller. It fails with a
// *request.Refusal.
func Decode(x *httpd.Exchange, limits Limits) (Message, error) {
	switch {
	case x.Path == AddressesPath && x.Method == http.MethodGet:
		return &AddressQuery{}, nil
	case x.Path == RequestsPath && x.Method == http.MethodPost:
		return decodeSubmit(x, limits)
	case strings.HasPrefix(x.Path, RequestsPath+"/") && x.Method == http.MethodGet:
		return decodeResume(x, limits)
	case strings.HasPrefix(x.Path, RequestsPath+"/") && x.Method == http.MethodDelete:
		return decodeCancel(x, limits)
	case strings.HasPrefix(x.Path, ServicesPath):
		return decodeServiceCall(x, limits)
	default:
		return nil, newRefusal(request.NotFound, "there is no "+x.Method+" on this path")
	}
}

func decodeSubmit(x *httpd.Exchange, limits Limits) (Message, error) {
	var body SubmitBody
	decoder := json.NewDecoder(bytes.NewReader(x.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, newRefusal(request.BadRequest, "the body is not the JSON that is expected: "+err.Error())
	}
	if err := checkSubmit(&body, limits); err != nil {
		return nil, err
	}
	deadline := time.Duration(body.DeadlineMS) * time.Millisecond
	if deadline == 0 {
		deadline = limits.DefaultDeadline
	}
	streamed := wantsStream(x)
	if body.Stream != nil {
		streamed = *body.Stream
	}
	return &Submit{
		Credential: bearerToken(x),
		Request: request.Request{
			ID:         request.ID{Key: body.Key},
			Idempotent: body.Idempotent,
			Model:      body.Model,
			Adapter:    body.Adapter,
			Prompt:     body.Prompt,
			MaxTokens:  body.MaxTokens,
			Priority:   body.Priority,
			Deadline:   deadline,
			Streamed:   streamed,
		},
	}, nil
}

func checkSubmit(body *SubmitBody, limits Limits) error {
	if err := checkKey(body.Key, limits); err != nil {
		return err
	}
	switch {
	case body.Model == "":
		return newRefusal(request.BadRequest, "model is missing")
	case body.Prompt == "":
		return newRefusal(request.BadRequest, "prompt is missing")
	case len(body.Prompt) > limits.MaxPromptBytes:
		return newRefusal(request.BadRequest, fmt.Sprintf("prompt must be at most %d bytes", limits.MaxPromptBytes))
	case body.MaxTokens < 1 || body.MaxTokens > limits.MaxTokens:
		return newRefusal(request.BadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", limits.MaxTokens))
	case body.DeadlineMS < 0 || body.DeadlineMS > limits.MaxDeadline.Milliseconds():
		return newRefusal(request.BadRequest, fmt.Sprintf("deadline_ms must be from 0 to %d", limits.MaxDeadline.Milliseconds()))
	}
	return nil
}

func checkKey(key string, limits Limits) error {
	if key == "" || len(key) > limits.MaxKeyBytes {
		return newRefusal(request.BadRequest, fmt.Sprintf("key must have from 1 to %d bytes", limits.MaxKeyBytes))
	}
	for _, r := range key {
		if r <= ' ' || r == '/' || r > '~' {
			return newRefusal(request.BadRequest, "key must be of visible ASCII characters without '/'")
		}
	}
	return nil
}

func decodeResume(x *httpd.Exchange, limits Limits) (Message, error) {
	key := strings.TrimPrefix(x.Path, RequestsPath+"/")
	if err := checkKey(key, limits); err != nil {
		return nil, err
	}
	from := 0
	if text := x.Query.Get("from"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return nil, newRefusal(request.BadRequest, "from must be the index of a piece")
		}
		from = n
	}
	return &Resume{Credential: bearerToken(x), Key: key, From: from, Streamed: wantsStream(x)}, nil
}

func decodeCancel(x *httpd.Exchange, limits Limits) (Message, error) {
	key := strings.TrimPrefix(x.Path, RequestsPath+"/")
	if err := checkKey(key, limits); err != nil {
		return nil, err
	}
	return &Cancel{Credential: bearerToken(x), Key: key}, nil
}

func decodeServiceCall(x *httpd.Exchange, limits Limits) (Message, error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(x.Path, ServicesPath), "/")
	call := &ServiceCall{
		Credential: bearerToken(x),
		Key:        x.Header.Get(KeyHeader),
		Service:    name,
		Method:     x.Method,
		Path:       (&url.URL{Path: "/" + rest, RawQuery: x.Query.Encode()}).RequestURI(),
		Header:     http.Header{},
		Body:       x.Body,
	}
	if call.Key != "" {
		if err := checkKey(call.Key, limits); err != nil {
			return nil, err
		}
	}
	if text := x.Header.Get(DeadlineHeader); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > limits.MaxDeadline.Milliseconds() {
			return nil, newRefusal(request.BadRequest, DeadlineHeader+" must be a number of milliseconds")
		}
		call.Deadline = time.Duration(n) * time.Millisecond
	}
	for _, field := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if value := x.Header.Get(field); value != "" {
			call.Header.Set(field, value)
		}
	}
	return call, nil
}

// wantsStream reports whether the caller accepts server-sent events, which it
// does unless the header Accept names JSON.
func wantsStream(x *httpd.Exchange) bool {
	return !strings.Contains(x.Header.Get("Accept"), "application/json")
}

// bearerToken returns the token of the header Authorization, or "" if there is
// none.
func bearerToken(x *httpd.Exchange) string {
	scheme, value, found := strings.Cut(x.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(value)
}

func newRefusal(reason request.Reason, detail string) *request.Refusal {
	return &request.Refusal{Outcome: request.NotRun, Reason: reason, Detail: detail}
}
