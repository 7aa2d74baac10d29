package relay_test

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// answerer answers a question to another gateway. It reports false if no answer arrives.
type answerer func(relay.AskHolder) (limit.Decision, bool)

// settle answers a core's questions to other gateways and returns its other actions.
func settle(core *relay.Core, answer answerer, now clock.Instant) []relay.Action {
	var rest []relay.Action
	for actions := core.Actions(); len(actions) > 0; actions = core.Actions() {
		for _, a := range actions {
			ask, isAsk := a.(relay.AskHolder)
			if !isAsk {
				rest = append(rest, a)
				continue
			}
			if d, ok := answer(ask); ok {
				core.LimitAnswered(ask.Handle, d, now)
			} else {
				core.HolderFailed(ask.Handle, ask.Holder.Instance, now)
			}
		}
	}
	return rest
}
