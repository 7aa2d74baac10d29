// Package soak runs the real entry gateways as processes on loopback, before
// stand-ins, while a seed injects faults from outside: signals, relays on all
// their links, a store and upstreams that misbehave. It checks what callers and
// upstreams see. The code is in its subpackages.
package soak
