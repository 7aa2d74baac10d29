// Package scale decides how many on-demand and how many reclaimable upstreams of
// a service to order in each failure domain.
//
// On-demand upstreams are sized for the present load. Reclaimable ones, which are
// cheaper, are added for load beyond that. All reclaimable upstreams can be lost
// within seconds, and replacements may be unavailable for a while, so no load
// that must be served depends on them.
//
// A [Planner] keeps no state that has to survive it: a new lease holder plans
// from the existing upstreams and the load.
package scale
