// Package faults injects what a seed draws into a running world: faults that come
// in series and overlap, each of which ends after a while.
package faults
