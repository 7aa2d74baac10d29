package world

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/operator"
)

// newRoute makes a route of the soak, all of which have the same latency targets.
func newRoute(prefix string, kind operator.RouteKind, service string, attempts int, timeout time.Duration) operator.Route {
	return operator.Route{
		Name: "r" + prefix, Host: Host, Prefix: prefix, Kind: kind, Service: service, MaxAttempts: attempts,
		TimeoutMS: int(timeout.Milliseconds()), LatencyTargetMS: 400, GapTargetMS: 400,
	}
}
