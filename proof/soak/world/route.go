package world

import "github.com/sycamorecourse/sycamorecourse/standin/operator"

// newRoute makes a route of the soak, all of which have the same times.
func newRoute(prefix string, kind operator.RouteKind, service string, attempts int) operator.Route {
	return operator.Route{
		Name: "r" + prefix, Host: Host, Prefix: prefix, Kind: kind, Service: service, MaxAttempts: attempts,
		TimeoutMS: 2000, LatencyTargetMS: 400, GapTargetMS: 400,
	}
}
