package bench

import "time"

// Scenario is a load with the faults that come with it.
type Scenario struct {
	// Name names it.
	Name string
	// Load multiplies the rates of the member's classes.
	Load float64
	// ReclaimDomain takes all replicas of one failure domain: a notice reaches
	// the gateways at faultAt, the replicas end reclaimNotice later.
	ReclaimDomain bool
	// FailDomain lets each request at one failure domain fail from the start.
	FailDomain bool
	// SlowReplica lets one replica take four times its time from faultAt on.
	SlowReplica bool
	// HungReplica lets one replica take requests and answer none from faultAt on.
	HungReplica bool
	// LateReports delays load reports and cache events, and loses some.
	LateReports bool
	// LoudCustomer multiplies the traffic of the third customer by ten.
	LoudCustomer bool
}

// Instants and rates of the scenarios.
const (
	warmUp        = 10 * time.Second
	runTime       = 60 * time.Second
	drainTime     = 100 * time.Second
	faultAt       = 25 * time.Second
	reclaimNotice = 8 * time.Second
	slowFactor    = 4
	loudFactor    = 10
)

// Scenarios are those of the report.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "quiet", Load: 0.4},
		{Name: "busy", Load: 0.9},
		{Name: "overload_1.5x", Load: 1.5},
		{Name: "overload_3x", Load: 3},
		{Name: "domain_reclaimed", Load: 0.6, ReclaimDomain: true},
		{Name: "domain_failing", Load: 0.6, FailDomain: true},
		{Name: "slow_replica", Load: 0.7, SlowReplica: true},
		{Name: "hung_replica", Load: 0.7, HungReplica: true},
		{Name: "late_reports", Load: 0.9, LateReports: true},
		{Name: "loud_customer", Load: 0.8, LoudCustomer: true},
	}
}

func (s Scenario) reporting() reporting {
	if s.LateReports {
		return reporting{loadPeriod: time.Second, loadLag: 3 * time.Second, cacheLag: 6 * time.Second, loadLoss: 0.3, cacheLoss: 0.3}
	}
	return reporting{loadPeriod: time.Second, loadLag: 400 * time.Millisecond, cacheLag: time.Second, loadLoss: 0.02, cacheLoss: 0.02}
}
