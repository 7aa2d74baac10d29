// Package catalog describes what is served: routes, services, customers and
// the upstreams that run the services. Its values are never changed once made,
// so that duties may share them.
package catalog
