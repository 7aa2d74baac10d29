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
	// AddressesPath answers with the addresses of the system.
	AddressesPath = "/v1/addresses"
	// RequestsPath takes requests; a key behind it names one.
	RequestsPath = "/v1/requests"
	// ServicesPath begins the path of each plain service.
	ServicesPath = "/v1/services/"
)

// KeyField carries the key of a call of a plain service.
const KeyField = "Idempotency-Key"

// DeadlineField carries the deadline of a call of a plain service, in
// milliseconds.
const DeadlineField = "Sycamore-Deadline-Ms"

// Decode reads what a caller asks for. It fails with a *request.Refusal.
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
		return nil, refuse(request.NotFound, "there is no "+x.Method+" on this path")
	}
}

func decodeSubmit(x *httpd.Exchange, limits Limits) (Message, error) {
	var body SubmitBody
	decoder := json.NewDecoder(bytes.NewReader(x.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, refuse(request.BadRequest, "the body is not the JSON that is expected: "+err.Error())
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
		Credential: credential(x),
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
		return refuse(request.BadRequest, "model is missing")
	case body.Prompt == "":
		return refuse(request.BadRequest, "prompt is missing")
	case len(body.Prompt) > limits.MaxPromptBytes:
		return refuse(request.BadRequest, fmt.Sprintf("prompt must be at most %d bytes", limits.MaxPromptBytes))
	case body.MaxTokens < 1 || body.MaxTokens > limits.MaxTokens:
		return refuse(request.BadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", limits.MaxTokens))
	case body.DeadlineMS < 0 || body.DeadlineMS > limits.MaxDeadline.Milliseconds():
		return refuse(request.BadRequest, fmt.Sprintf("deadline_ms must be from 0 to %d", limits.MaxDeadline.Milliseconds()))
	}
	return nil
}

func checkKey(key string, limits Limits) error {
	if key == "" || len(key) > limits.MaxKeyBytes {
		return refuse(request.BadRequest, fmt.Sprintf("key must have from 1 to %d bytes", limits.MaxKeyBytes))
	}
	for _, r := range key {
		if r <= ' ' || r == '/' || r > '~' {
			return refuse(request.BadRequest, "key must be of visible ASCII characters without '/'")
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
			return nil, refuse(request.BadRequest, "from must be the index of a piece")
		}
		from = n
	}
	return &Resume{Credential: credential(x), Key: key, From: from, Streamed: wantsStream(x)}, nil
}

func decodeCancel(x *httpd.Exchange, limits Limits) (Message, error) {
	key := strings.TrimPrefix(x.Path, RequestsPath+"/")
	if err := checkKey(key, limits); err != nil {
		return nil, err
	}
	return &Cancel{Credential: credential(x), Key: key}, nil
}

func decodeServiceCall(x *httpd.Exchange, limits Limits) (Message, error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(x.Path, ServicesPath), "/")
	call := &ServiceCall{
		Credential: credential(x),
		Key:        x.Header.Get(KeyField),
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
	if text := x.Header.Get(DeadlineField); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > limits.MaxDeadline.Milliseconds() {
			return nil, refuse(request.BadRequest, DeadlineField+" must be a number of milliseconds")
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

func wantsStream(x *httpd.Exchange) bool {
	return !strings.Contains(x.Header.Get("Accept"), "application/json")
}

func credential(x *httpd.Exchange) string {
	scheme, value, found := strings.Cut(x.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(value)
}

func refuse(reason request.Reason, detail string) *request.Refusal {
	return &request.Refusal{Outcome: request.NotRun, Reason: reason, Detail: detail}
}
