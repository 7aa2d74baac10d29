package bench

import (
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/hedge"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Variant is a set of policies to be measured.
type Variant struct {
	// Name names it.
	Name string
	// Route configures the routers; the random generator is set for each.
	Route route.Config
	// Admit configures the queues.
	Admit admit.Config
	// Hedge configures the hedging.
	Hedge hedge.Config
}

// Variants are those of the report, baselines first.
func Variants() []Variant {
	arrival := admit.Config{ArrivalOrder: true}
	return []Variant{
		{Name: "round_robin+fifo", Route: route.Config{Policy: route.RoundRobin}, Admit: arrival},
		{Name: "least_requests+fifo", Route: route.Config{Policy: route.LeastRequests}, Admit: arrival},
		{Name: "least_requests", Route: route.Config{Policy: route.LeastRequests}},
		{Name: "predicted", Route: route.Config{Policy: route.Predicted}},
		{Name: "predicted_cached", Route: route.Config{Policy: route.PredictedCached}},
		{Name: "slack+fifo", Route: route.Config{Policy: route.Slack}, Admit: arrival},
		{Name: "slack-health", Route: route.Config{Policy: route.Slack, Health: health.Config{Disabled: true}}},
		{Name: "slack-hedge", Route: route.Config{Policy: route.Slack}, Hedge: hedge.Config{Disabled: true}},
		{Name: "slack", Route: route.Config{Policy: route.Slack}},
	}
}
