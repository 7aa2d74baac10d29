// Package subset selects the upstreams that each gateway connects to, so that
// the connections and health probes of the whole system grow with the number of
// gateways plus upstreams and not with their product.
//
// # Invariants
//
//   - A subset depends only on the name of the gateway and the set of instances.
//   - Adding or removing one instance changes at most one choice of a gateway in
//     the failure domain of that instance.
package subset
