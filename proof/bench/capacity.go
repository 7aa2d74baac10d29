package bench

// Parameters of the search for the capacity.
const (
	// TargetShare is the share of requests that is to meet the target.
	TargetShare   = 0.95
	capacityFrom  = 0.2
	capacityTo    = 5.0
	capacitySteps = 7
)

// Capacity searches the greatest load at which a variant still answers
// TargetShare of the requests within their targets, with no faults.
func Capacity(m Member, v Variant, seeds int) float64 {
	low, high := capacityFrom, capacityTo
	for range capacitySteps {
		middle := (low + high) / 2
		results := RunSeeds(m, Scenario{Name: "capacity", Load: middle}, v, seeds)
		if figure(results, (*Result).GoodShare).Mean >= TargetShare {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Goodput is the mean number of good answers of engines a second at a load.
func Goodput(m Member, v Variant, load float64, seeds int) float64 {
	results := RunSeeds(m, Scenario{Name: "goodput", Load: load}, v, seeds)
	perSecond := func(r *Result) float64 { return float64(r.GoodAtEngines) / (runTime - warmUp).Seconds() }
	return figure(results, perSecond).Mean
}
