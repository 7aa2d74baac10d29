// Package world is what a soak runs: the stand-ins, the relays before them, and
// the gateways as processes.
package world
