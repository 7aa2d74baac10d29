// Package place decides on which instances the replicas of a pool run, and
// which instances to start and end to get there.
package place
