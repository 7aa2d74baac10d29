package operator

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// Problem is the body of an error response.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code classifies the problem.
	Code Code `json:"code"`
	// Detail is a message for the operator.
	Detail string `json:"detail"`
	// Faults lists the violations of an invalid intent.
	Faults []intent.Violation `json:"faults,omitempty"`
	// Changed lists the configuration changes since a stale plan was made.
	Changed []plan.Change `json:"changed,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// IsConflict reports whether the plan can't be confirmed and a new one is needed.
func (p *Problem) IsConflict() bool {
	return p.Status == http.StatusConflict
}

// ProblemOf converts an error to a Problem with its code and HTTP status. An error
// of an unknown type gets Internal and 500.
func ProblemOf(err error) *Problem {
	p := &Problem{Status: http.StatusInternalServerError, Code: Internal, Detail: err.Error()}
	var (
		problem            *Problem
		invalid            *intent.InvalidError
		notFound           *plan.NotFoundError
		stale              *plan.StaleError
		altered            *plan.AlteredError
		expired            *plan.ExpiredError
		overBudget         *plan.OverBudgetError
		noPrices           *plan.NoPricesError
		rowUnavailable     *row.UnavailableError
		rowUnknown         *row.UnknownError
		confirmUnknown     *confirm.UnknownError
		confirmUnavailable *confirm.UnavailableError
		full               *ring.FullError
		closed             *ring.ClosedError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &invalid):
		p.Status, p.Code, p.Faults = http.StatusBadRequest, InvalidIntent, invalid.Violations
	case errors.As(err, &notFound):
		p.Status, p.Code = http.StatusNotFound, NotFound
	case errors.As(err, &stale):
		p.Status, p.Code, p.Changed = http.StatusConflict, Stale, stale.Changed
	case errors.As(err, &altered):
		p.Status, p.Code = http.StatusConflict, Altered
	case errors.As(err, &expired):
		p.Status, p.Code = http.StatusConflict, Expired
	case errors.As(err, &overBudget):
		p.Status, p.Code = http.StatusConflict, OverBudget
	case errors.As(err, &rowUnknown), errors.As(err, &confirmUnknown):
		p.Status, p.Code = http.StatusGatewayTimeout, OutcomeUnknown
	case errors.As(err, &rowUnavailable), errors.As(err, &confirmUnavailable), errors.As(err, &noPrices), errors.As(err, &full), errors.As(err, &closed):
		p.Status, p.Code = http.StatusServiceUnavailable, Unavailable
	}
	return p
}

// IsRetryable reports whether the same call may succeed later or at another
// controller. Retrying is safe: either nothing took effect or the call is an
// idempotent confirmation.
func (p *Problem) IsRetryable() bool {
	return p.Code == Unavailable || p.Code == OutcomeUnknown
}
