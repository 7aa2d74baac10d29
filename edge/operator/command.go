package operator

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Command is a decoded request of an operator. The other fields are set as Kind
// requires.
type Command struct {
	// Kind is the kind of the command.
	Kind CommandKind
	// Document is the intent of a MakePlan.
	Document *intent.Document
	// Plan is the ID of the plan of a ConfirmPlan or ShowPlan.
	Plan string
	// Operator is the name of the operator who sends a ConfirmPlan.
	Operator string
	// Wait is how long a ConfirmPlan waits until all live processes have the
	// version.
	Wait time.Duration
}
