// Package place decides on which instances the replicas of a pool run, and
// which instances to start and end to get there.
//
// Choose computes the wanted placement, a Target: the cheapest found with which
// enough replicas are left when the largest failure domain is lost. NextStep
// compares a Target with the running instances, and returns what to start and
// end next. A Ledger records the instances that are paid for, and Backoff the
// options whose starts fail. Nothing here calls the cloud.
package place
