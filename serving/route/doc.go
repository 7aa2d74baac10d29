// Package route chooses an upstream replica for each request of one gateway. A
// Router is fed with the list of instances, the load and cache reports of the
// upstreams, and the progress of the gateway's own requests. It learns what
// other gateways send only from the load reports, so its view is approximate.
//
// # Invariants
//
//   - Only live replicas that are not leaving are chosen, and none that the job
//     has tried before.
//   - A gateway's own requests alone never exceed the MaxConcurrent of a
//     replica.
//   - Late or lost load reports and cache events only make the predictions less
//     accurate.
package route
