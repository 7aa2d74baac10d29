package operator

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Command is what an operator asks for, as decoded.
type Command struct {
	// Kind says what is asked for.
	Kind Kind
	// Document is the intent of a MakePlan.
	Document *intent.Document
	// Plan names the plan of a ConfirmPlan or ShowPlan.
	Plan string
	// Operator names who asks.
	Operator string
	// Wait is how long a ConfirmPlan waits for all processes.
	Wait time.Duration
}
