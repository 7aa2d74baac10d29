// Package catalog holds the model of the configuration: routes, services,
// customers, limits and the upstreams that run the services. Its values are
// immutable after construction, so that threads can share them without locks.
package catalog
