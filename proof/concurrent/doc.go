// Package concurrent is the root of the checks of concurrent histories: many
// callers send requests through several gateways while stand-ins fail, and what
// the callers were told is compared with what the upstreams did.
package concurrent
