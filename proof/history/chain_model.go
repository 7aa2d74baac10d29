package history

import (
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

const planSeparator = "\n"

// chainModel is the sequential specification of a chain. Its state is the plans
// of all versions.
func chainModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			plans := strings.Split(state.(string), planSeparator)[1:]
			if state.(string) == "" {
				plans = nil
			}
			allowed, next := chainStep(plans, input.(chainOp), output.(chainResult))
			return allowed, joinPlans(next)
		},
	}
}

func chainStep(plans []string, op chainOp, result chainResult) (bool, []string) {
	isPlan := op.base < len(plans) && plans[op.base] == op.plan
	switch result.kind {
	case tookEffect:
		if isPlan {
			return true, plans
		}
		return op.base == len(plans), append(slices.Clone(plans), op.plan)
	case conflicted:
		return !isPlan && op.base != len(plans) && result.head <= len(plans), plans
	default:
		// An earlier confirmation of the plan may have taken effect.
		return true, plans
	}
}

func joinPlans(plans []string) string {
	if len(plans) == 0 {
		return ""
	}
	return planSeparator + strings.Join(plans, planSeparator)
}
