package catalog

import (
	"sort"
	"strings"
)

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	// Version increases with each change.
	Version uint64
	// Services holds the services by name.
	Services map[string]*Service
	// Customers holds the customers by name. If it is empty, requests need no
	// credential.
	Customers map[string]*Customer
	// Limits are the size limits of requests.
	Limits Limits

	routes      map[string][]*Route // by host, longest prefix first
	credentials map[string]*Customer
}

// New returns a Catalog, with routes indexed by host and customers by credential.
func New(version uint64, routes []*Route, services []*Service, customers []*Customer, limits Limits) *Catalog {
	c := &Catalog{
		Version:     version,
		Services:    make(map[string]*Service, len(services)),
		Customers:   make(map[string]*Customer, len(customers)),
		Limits:      limits,
		routes:      make(map[string][]*Route),
		credentials: make(map[string]*Customer),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, customer := range customers {
		c.Customers[customer.Name] = customer
		for _, credential := range customer.Credentials {
			c.credentials[credential] = customer
		}
	}
	return c
}

// Route returns the route of a host with the longest prefix of the path; nil if
// there is none. The host may be in any case and include a port. A path with dot segments
// has a route only if it is the same without them, since an upstream may remove them.
func (c *Catalog) Route(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	list := c.routes[strings.ToLower(host)]
	r := longestPrefix(list, path)
	if strings.Contains(path, "/.") && r != longestPrefix(list, removeDotSegments(path)) {
		return nil
	}
	return r
}

// removeDotSegments returns the path that a path with dot segments leads to (RFC 3986,
// 5.2.4).
func removeDotSegments(path string) string {
	segments := strings.Split(path, "/")
	var kept []string
	for i, segment := range segments {
		isLast := i == len(segments)-1
		switch segment {
		case "..":
			if len(kept) > 1 {
				kept = kept[:len(kept)-1]
			}
		case ".":
		default:
			kept = append(kept, segment)
			continue
		}
		if isLast {
			kept = append(kept, "")
		}
	}
	return strings.Join(kept, "/")
}

// longestPrefix returns the first of the routes, sorted by the length of their prefixes,
// that a path begins with; nil if there is none.
func longestPrefix(list []*Route, path string) *Route {
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the customer with a credential; nil if there is none.
func (c *Catalog) Customer(credential string) *Customer {
	return c.credentials[credential]
}

// NeedsCredentials reports whether requests on routes that are not public need
// a credential.
func (c *Catalog) NeedsCredentials() bool {
	return len(c.Customers) > 0
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}
