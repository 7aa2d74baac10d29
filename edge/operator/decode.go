package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// The paths of the API.
const (
	// PlansPath lists plans and accepts intents.
	PlansPath = "/v1/plans"
	// IntentPath shows the configuration in force.
	IntentPath = "/v1/intent"
	// StatusPath shows the status of the processes, the fleet and the control
	// duties.
	StatusPath = "/v1/status"

	confirmSuffix = "/confirm"
)

// MaxWait is the maximum time for which a confirmation waits until all live
// processes have the version.
const MaxWait = time.Minute

// Decode decodes and validates a request of an operator. It fails with a *Problem.
func Decode(x *httpd.Exchange) (Command, error) {
	switch {
	case x.Path == PlansPath && x.Method == http.MethodPost:
		return decodeIntent(x.Body)
	case x.Path == PlansPath && x.Method == http.MethodGet:
		return Command{Kind: ListPlans}, nil
	case x.Path == IntentPath && x.Method == http.MethodGet:
		return Command{Kind: ShowIntent}, nil
	case x.Path == StatusPath && x.Method == http.MethodGet:
		return Command{Kind: ShowStatus}, nil
	case strings.HasPrefix(x.Path, PlansPath+"/"):
		return decodePlanPath(x)
	default:
		return Command{}, unknownPath(x)
	}
}

func decodePlanPath(x *httpd.Exchange) (Command, error) {
	rest := strings.TrimPrefix(x.Path, PlansPath+"/")
	id, confirm := strings.CutSuffix(rest, confirmSuffix)
	if id == "" || strings.Contains(id, "/") {
		return Command{}, unknownPath(x)
	}
	if confirm && x.Method == http.MethodPost {
		return decodeConfirm(id, x.Body)
	}
	if !confirm && x.Method == http.MethodGet {
		return Command{Kind: ShowPlan, Plan: id}, nil
	}
	return Command{}, unknownPath(x)
}

func decodeIntent(body []byte) (Command, error) {
	d := &intent.Document{}
	if err := decodeStrict(body, d); err != nil {
		return Command{}, &Problem{Status: http.StatusBadRequest, Code: BadRequest, Detail: err.Error()}
	}
	if err := intent.Check(d); err != nil {
		return Command{}, ProblemOf(err)
	}
	return Command{Kind: MakePlan, Document: d}, nil
}

func decodeConfirm(id string, body []byte) (Command, error) {
	var b ConfirmBody
	if err := decodeStrict(body, &b); err != nil {
		return Command{}, &Problem{Status: http.StatusBadRequest, Code: BadRequest, Detail: err.Error()}
	}
	if b.Operator == "" {
		return Command{}, &Problem{Status: http.StatusBadRequest, Code: BadRequest, Detail: "operator: is missing"}
	}
	wait := min(max(time.Duration(b.WaitMillis)*time.Millisecond, 0), MaxWait)
	return Command{Kind: ConfirmPlan, Plan: id, Operator: b.Operator, Wait: wait}, nil
}

// decodeStrict rejects unknown fields, so that a misspelled limit is not read as no
// limit.
func decodeStrict(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}

func unknownPath(x *httpd.Exchange) error {
	return &Problem{Status: http.StatusNotFound, Code: NotFound, Detail: "no " + x.Method + " " + x.Path}
}
