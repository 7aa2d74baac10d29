// Package subset picks the upstreams that one gateway talks to, so that the
// connections and probes of the whole system grow with gateways plus upstreams
// rather than with their product.
package subset
