package bench

import (
	"math"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Result is what a run gave, for the requests after the warm-up.
type Result struct {
	// Offered counts the requests.
	Offered int
	// Good answers met the latency target and the deadline.
	Good int
	// GoodAtEngines counts those of model engines.
	GoodAtEngines int
	// Late answers were whole but missed one of them.
	Late int
	// Refused requests were not run.
	Refused int
	// Failed requests were sent and got no whole answer.
	Failed int
	// Attempts counts what was sent to upstreams, of Dispatched requests.
	Attempts, Dispatched int
	// Hedges counts second attempts sent beside a slow first one.
	Hedges int
	// Recomputed counts prompt tokens computed before, and tokens lost.
	Recomputed int
	// Jain is the fairness between customers: 1 is even.
	Jain float64
	// MaxOverMean is the mean of the greatest load over the mean load.
	MaxOverMean float64
	// MicrosPerHour is the price of the fleet.
	MicrosPerHour int64
	// Classes counts the good and offered requests of each class.
	Classes []ClassResult

	member  Member
	samples []float64
	// wanted and served hold the work of each customer, in seconds.
	wanted, served []float64
}

func newResult(m Member) *Result {
	r := &Result{member: m, wanted: make([]float64, len(m.Customers)), served: make([]float64, len(m.Customers))}
	for _, c := range m.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
	}
	for _, p := range m.Pools {
		for _, machine := range p.Machines {
			r.MicrosPerHour += machine.MicrosPerHour
		}
	}
	return r
}

func (r *Result) class(j *job) *ClassResult {
	i := slices.IndexFunc(r.Classes, func(c ClassResult) bool { return c.Name == j.class.Name })
	return &r.Classes[i]
}

func (r *Result) offered(j *job) {
	if !j.isMeasured() {
		return
	}
	r.Offered++
	r.class(j).Offered++
	r.wanted[j.customer] += j.entry.PredictedWork.Seconds()
}

func (r *Result) refused(j *job) {
	if j.isMeasured() {
		r.Refused++
	}
}

func (r *Result) failed(j *job) {
	if j.isMeasured() {
		r.Failed++
		r.countAttempts(j)
	}
}

func (r *Result) hedged(j *job) {
	if j.isMeasured() {
		r.Hedges++
	}
}

func (r *Result) countAttempts(j *job) {
	r.Dispatched++
	r.Attempts += j.sent
}

func (r *Result) answered(j *job, now clock.Instant) {
	if !j.isMeasured() {
		return
	}
	r.countAttempts(j)
	r.served[j.customer] += j.entry.PredictedWork.Seconds()
	if j.firstAt > j.entry.FirstTokenBy || now > j.entry.Deadline {
		r.Late++
		return
	}
	r.Good++
	if len(j.blocks) > 0 {
		r.GoodAtEngines++
	}
	r.class(j).Good++
}

func (r *Result) addRecomputed(j *job, tokens int) {
	if j.isMeasured() {
		r.Recomputed += tokens
	}
}

// sample notes the load of the engines that serve a model.
func (r *Result) sample(engines []*engine) {
	most, sum, n := 0.0, 0.0, 0.0
	for _, e := range engines {
		if e.dead || e.replica.Model == "" {
			continue
		}
		load := float64(e.inProgress())
		most = max(most, load)
		sum += load
		n++
	}
	if sum > 0 {
		r.samples = append(r.samples, most/(sum/n))
	}
}

func (r *Result) close(s *simulation) {
	r.Jain = jain(r.member, r.wanted, r.served)
	for _, x := range r.samples {
		r.MaxOverMean += x / float64(len(r.samples))
	}
}

// jain is Jain's index of the work served to each customer over the work that
// a weighted max-min fair division of all work served would give it.
func jain(m Member, wanted, served []float64) float64 {
	total := 0.0
	for _, s := range served {
		total += s
	}
	fair := fairDivision(m, wanted, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range fair {
		if fair[i] > 0 {
			x := served[i] / fair[i]
			sum += x
			squares += x * x
			n++
		}
	}
	if squares == 0 {
		return math.NaN()
	}
	return sum * sum / (n * squares)
}

// fairDivision fills each customer's want in proportion to its share.
func fairDivision(m Member, wanted []float64, total float64) []float64 {
	given := make([]float64, len(wanted))
	for total > 1e-9 {
		shares := 0.0
		for i := range wanted {
			if given[i] < wanted[i] {
				shares += float64(m.Customers[i].Share)
			}
		}
		if shares == 0 {
			break
		}
		level := math.Inf(1)
		for i := range wanted {
			if given[i] < wanted[i] {
				level = min(level, (wanted[i]-given[i])/float64(m.Customers[i].Share))
			}
		}
		level = min(level, total/shares)
		for i := range wanted {
			if given[i] < wanted[i] {
				part := level * float64(m.Customers[i].Share)
				given[i] = min(given[i]+part, wanted[i])
				if wanted[i]-given[i] < 1e-9 {
					given[i] = wanted[i]
				}
				total -= part
			}
		}
	}
	return given
}

// GoodShare is the share of the offered requests that were good.
func (r *Result) GoodShare() float64 {
	return float64(r.Good) / float64(r.Offered)
}

// CostPerThousand is the price of the fleet for a thousand good answers, in
// units of the currency.
func (r *Result) CostPerThousand() float64 {
	hours := (runTime - warmUp).Hours()
	return float64(r.MicrosPerHour) * hours / 1e6 / float64(r.Good) * 1000
}

// RecomputedPerAnswer is the number of recomputed tokens for each answer.
func (r *Result) RecomputedPerAnswer() float64 {
	return float64(r.Recomputed) / float64(r.Good+r.Late)
}

// AttemptsPerRequest is the number of attempts for each dispatched request.
func (r *Result) AttemptsPerRequest() float64 {
	return float64(r.Attempts) / float64(r.Dispatched)
}
