// Package scale decides how many upstreams of a service are ordered in each
// failure domain, reclaimable ones and on-demand ones.
//
// On-demand upstreams carry the load as it is. Reclaimable ones are added where
// they are cheaper, for what comes on top: all of them can be lost within
// seconds, and nothing be had in their place for a while, so that nothing that
// must be served depends on them.
//
// A planner holds nothing that has to outlive it: a new holder of the duty plans
// from the upstreams that there are and from the load.
package scale
