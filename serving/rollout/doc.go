// Package rollout moves the requests of a service from its upstreams of other versions
// to those of a new one, step by step, and back if the new version is worse. It does no
// I/O, reads no clock and knows no wire format.
//
// The holder of the singleton duties runs a Planner, which decides on the stages of each
// roll-out. Each gateway runs a Tracker, which divides requests by the stage, counts how
// they end with the new version and the others, and stops sending to the new one by
// itself as soon as what all gateways have counted shows that it is worse.
package rollout
