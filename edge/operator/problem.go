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

// Problem is a failure as it goes over the wire.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is the kind of problem.
	Code Code `json:"code"`
	// Detail is a sentence for the operator.
	Detail string `json:"detail"`
	// Faults lists what is wrong with an intent.
	Faults []intent.Violation `json:"faults,omitempty"`
	// Changed lists what changed since a stale plan was made.
	Changed []plan.Change `json:"changed,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// IsConflict reports whether the plan can't be confirmed as it is.
func (p *Problem) IsConflict() bool {
	return p.Status == http.StatusConflict
}

// ProblemOf gives a failure its code and status.
func ProblemOf(err error) *Problem {
	p := &Problem{Status: http.StatusInternalServerError, Code: Internal, Detail: err.Error()}
	var (
		problem *Problem
		invalid *intent.InvalidError
		missing *plan.NotFoundError
		stale   *plan.StaleError
		altered *plan.AlteredError
		expired *plan.ExpiredError
		over    *plan.OverBudgetError
		prices  *plan.NoPricesError
		away    *row.UnavailableError
		unknown *row.UnknownError
		doubt   *confirm.UnknownError
		stopped *confirm.UnavailableError
		full    *ring.FullError
		closed  *ring.ClosedError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &invalid):
		p.Status, p.Code, p.Faults = http.StatusBadRequest, InvalidIntent, invalid.Violations
	case errors.As(err, &missing):
		p.Status, p.Code = http.StatusNotFound, NotFound
	case errors.As(err, &stale):
		p.Status, p.Code, p.Changed = http.StatusConflict, Stale, stale.Changed
	case errors.As(err, &altered):
		p.Status, p.Code = http.StatusConflict, Altered
	case errors.As(err, &expired):
		p.Status, p.Code = http.StatusConflict, Expired
	case errors.As(err, &over):
		p.Status, p.Code = http.StatusConflict, OverBudget
	case errors.As(err, &unknown), errors.As(err, &doubt):
		p.Status, p.Code = http.StatusGatewayTimeout, OutcomeUnknown
	case errors.As(err, &away), errors.As(err, &stopped), errors.As(err, &prices), errors.As(err, &full), errors.As(err, &closed):
		p.Status, p.Code = http.StatusServiceUnavailable, Unavailable
	}
	return p
}

// IsUnavailable reports whether the call may be made again later.
func (p *Problem) IsUnavailable() bool {
	return p.Code == Unavailable || p.Code == OutcomeUnknown
}
